//! Stand-ins of the platform, the runners, the advice service and the clients for the scripts of the review, and the scenes
//! that the scripts play. It needs the standard library only.
//!
//! Usage: standin SCENE FOLDER TROUBLE, from the root of the repository. Exit code 1: the rule was broken; 0: it held; 2:
//! the scene could not be played.

mod http;
mod json;
mod platform;
mod runner;
mod scenes;
mod site;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 4 {
        eprintln!("usage: standin SCENE FOLDER TROUBLE");
        std::process::exit(2);
    }
    let trouble = arguments[3] != "0";
    // A scene takes less than 100 s. The script that starts this program ends the entries.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        std::process::exit(2);
    });
    let code = scenes::play(&arguments[1], &arguments[2], trouble);
    std::process::exit(code);
}
