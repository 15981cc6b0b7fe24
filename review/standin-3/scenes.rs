//! The scenes. Each returns 1 if the rule was broken, 0 if it held, and 2 if it could not be played.

use crate::{runner::Kind, site::Site};
use std::{
    thread,
    time::{Duration, Instant},
};

pub fn play(scene: &str, folder: &str, trouble: bool) -> i32 {
    let played = match scene {
        "late" => late(folder, trouble),
        "dropped" => dropped(folder, trouble),
        "advised" => advised(folder, trouble),
        "reborn" => reborn(folder, trouble),
        "gang" => gang(folder, trouble),
        _ => None,
    };
    played.map_or(2, i32::from)
}

fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Runners whose ids and machines are named as in the examples of the pages.
fn kinds(service: &str, count: usize, checkpoints: bool) -> Vec<Kind> {
    let zones = ["suva", "lautoka", "nadi"];
    let kind = |number: usize| Kind {
        id: format!("i-7d0e21{number:02x}"),
        machine: format!("m-0a4{number:02x}"),
        service: service.to_owned(),
        zone: zones[number % zones.len()].to_owned(),
        rack: format!("r1-{}", number / 4),
        cpu: 64_000,
        memory: 131_072,
        checkpoints,
    };
    (0..count).map(kind).collect()
}

fn route(name: &str, service: &str, advice: bool) -> String {
    let advice = match advice {
        true => ",\"advice\":{\"decideMs\":20,\"intervalMs\":2,\"validMs\":10000}",
        false => "",
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"pule25.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":600,\"priority\":0,\"service\":\"{service}\",\"maxAttempts\":2,\"stretch\":1.6{advice}}}"
    )
}

fn config(version: u64, routes: &[String], service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\"admissionCheck\":false,\"standby\":false}}],\"limits\":{{}}}}",
        routes.join(",")
    )
}

fn step(count: usize, cpu: u64, memory: u64, estimate: u64, more: &str) -> String {
    format!(
        "{{\"count\":{count},\"cpu\":{cpu},\"memMb\":{memory},\"estimateMs\":{estimate}{more}}}"
    )
}

fn job(spec: &str, steps: &[String]) -> String {
    format!("{{\"spec\":\"{spec}\",\"phases\":[{}]}}", steps.join(","))
}

/// Waits until `done` holds, at most for `limit` seconds, and returns whether it did.
fn wait(limit: f64, done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(limit);
    while Instant::now() < until {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The route of an advised queue is dropped while a job of it is at work. Then all processes are killed and started again.
fn dropped(folder: &str, trouble: bool) -> Option<bool> {
    let (kept, advised) = (
        route("site-fit", "siteplan", false),
        route("council-pack", "siteplan", true),
    );
    let first = config(1, &[kept.clone(), advised], "siteplan");
    let mut site = Site::start(folder, kinds("siteplan", 6, false), &first)?;
    pause(3.0);
    // Three steps of four tasks, each of 4 s on 4 of 384 cores.
    let after = |step: usize| format!(",\"dependsOn\":[{step}]");
    let steps = [
        step(4, 4_000, 1_000, 4_000, ""),
        step(4, 4_000, 1_000, 4_000, &after(0)),
        step(4, 4_000, 1_000, 4_000, &after(1)),
    ];
    let handed = site.submit(
        "council-pack",
        "00000000000000b1",
        &job("advised work=4000", &steps),
    );
    if handed.accepted.is_none() || !wait(8.0, || site.running(&handed.id) == 4) {
        site.finish("not played: the job did not start");
        return None;
    }
    site.configure(&config(2, &[kept], "siteplan"));
    pause(2.5);
    if trouble {
        for number in 0..3 {
            site.kill_entry(number);
        }
        pause(0.5);
        for number in 0..3 {
            site.start_entry(number)?;
        }
    }
    if !site.wait_ready(Duration::from_secs(20)) {
        site.finish("not played: the entries were not ready again");
        return None;
    }
    // After recoverS, the spans without a running task are measured while some of the 12 tasks are not done.
    pause(12.0);
    let other = site.submit(
        "site-fit",
        "00000000000000b2",
        &job("work=1000", &[step(2, 4_000, 1_000, 1_000, "")]),
    );
    let (began, mut idle_since, mut longest) = (site.now(), None::<f64>, 0.0_f64);
    while site.now() < began + 30.0 && site.count(&handed.id, "done") < 12 {
        let now = site.now();
        match site.running(&handed.id) {
            0 => longest = longest.max(now - *idle_since.get_or_insert(now)),
            _ => idle_since = None,
        }
        pause(0.05);
    }
    let done = site.count(&handed.id, "done");
    let other_state = site.state(&other);
    let tickets = site
        .journal
        .rejected
        .lock()
        .unwrap()
        .get("ticket")
        .copied()
        .unwrap_or(0);
    let broken = done < 12 && longest >= 3.0;
    site.finish(&match broken {
        true => format!(
            "LOST broken: {done} of 12 tasks of the accepted job are done, none ran for {longest:.1} s, {tickets} starts were rejected with reason ticket; a job of the other queue is {other_state}"
        ),
        false => format!("LOST held: {done} of 12 tasks are done, longest span without a running task {longest:.1} s"),
    });
    Some(broken)
}

/// A gang of 2,000 tasks that write checkpoints runs on 12 runners. One of these crashes, and is back after 4.5 s.
fn gang(folder: &str, trouble: bool) -> Option<bool> {
    const MEMBERS: usize = 2_000;
    let routes = [
        route("roof-quote", "roofing", false),
        route("hardware-pack", "roofing", false),
    ];
    let site = Site::start(
        folder,
        kinds("roofing", 12, true),
        &config(1, &routes, "roofing"),
    )?;
    pause(3.0);
    let body = job(
        &format!("work=20000 gang={MEMBERS}"),
        &[step(
            MEMBERS,
            100,
            32,
            20_000,
            ",\"checkpointing\":true,\"gang\":true",
        )],
    );
    let large = site.submit("hardware-pack", "00000000000000c2", &body);
    if large.accepted.is_none() || !wait(6.0, || site.running(&large.id) == MEMBERS) {
        site.finish("not played: the gang did not start");
        return None;
    }
    site.note(format!("all {MEMBERS} members of the gang run"));
    pause(5.0);
    if trouble {
        site.note("a runner goes down");
        site.runners.lock().unwrap()[3].crash();
        pause(4.5);
        site.note("the runner comes up again under its id");
        site.runners.lock().unwrap()[3].restart();
    }
    // A job of the other queue, in calm.
    pause(15.0);
    let small = site.submit(
        "roof-quote",
        "00000000000000d0",
        &job("work=1000", &[step(2, 4_000, 1_000, 1_000, "")]),
    );
    // From finish_s after the end of the traffic.
    pause(14.0);
    let (began, mut idle_since, mut longest) = (site.now(), None::<f64>, 0.0_f64);
    while site.now() < began + 8.0 && site.count(&large.id, "done") == 0 {
        let now = site.now();
        match site.running(&large.id) {
            0 => longest = longest.max(now - *idle_since.get_or_insert(now)),
            _ => idle_since = None,
        }
        pause(0.05);
    }
    let done = site.count(&large.id, "done");
    let started = site.starts(&small);
    let (large_state, small_state) = (site.state(&large), site.state(&small));
    let broken = done == 0 && longest >= 3.0;
    let more = format!(
        "shown as {large_state}; the small job is {small_state}, its first start came after {started}; new epochs of producers: {}",
        site.epochs()
    );
    site.finish(&match broken {
        true => format!("LOST broken: the accepted gang is not done and had nothing running for {longest:.1} s while all 768 cores were free; {more}"),
        false => format!("LOST held: {done} members are done; {more}"),
    });
    Some(broken)
}

/// A gang of six tasks is handed in to a queue that has advice. Nothing fails. Without the trouble the queue has no advice.
fn advised(folder: &str, trouble: bool) -> Option<bool> {
    let routes = [route("council-pack", "siteplan", trouble)];
    let site = Site::start(
        folder,
        kinds("siteplan", 6, false),
        &config(1, &routes, "siteplan"),
    )?;
    pause(3.0);
    let word = if trouble { "advised" } else { "plain" };
    let plain = site.submit(
        "council-pack",
        "00000000000000e1",
        &job(
            &format!("{word} work=2000"),
            &[step(6, 4_000, 1_000, 2_000, "")],
        ),
    );
    if plain.accepted.is_none() || !wait(10.0, || site.count(&plain.id, "done") == 6) {
        site.finish("not played: a job without a gang did not run");
        return None;
    }
    let body = job(
        &format!("{word} work=2000 gang=6"),
        &[step(6, 4_000, 1_000, 2_000, ",\"gang\":true")],
    );
    let gang = site.submit("council-pack", "00000000000000e2", &body);
    if gang.accepted.is_none() {
        site.finish("not played: the gang was not accepted");
        return None;
    }
    // From finish_s after the end of the traffic, for 3 s and more.
    pause(24.0);
    let (started, done) = (site.starts(&gang), site.count(&gang.id, "done"));
    let state = site.state(&gang);
    let tickets = site.advice.given();
    let broken = site.count(&gang.id, "start") == 0;
    site.finish(&match broken {
        true => format!("LOST broken: the accepted gang has not started in 24 s while all 384 cores were free, and is shown as {state}; {tickets} tickets were given in all, the job without a gang is done"),
        false => format!("LOST held: the gang started after {started}, {done} members are done"),
    });
    Some(broken)
}

/// A job whose six tasks last is handed in to a queue that has advice, just after a runner has ended silently. The runner starts
/// again under its id 1.3 s later.
fn reborn(folder: &str, trouble: bool) -> Option<bool> {
    let routes = [route("council-pack", "siteplan", true)];
    let site = Site::start(
        folder,
        kinds("siteplan", 6, false),
        &config(1, &routes, "siteplan"),
    )?;
    pause(5.0);
    let runner = std::sync::Arc::clone(&site.runners.lock().unwrap()[2]);
    if trouble {
        site.note("a runner ends silently");
        runner.go_dark();
    }
    let body = job(
        "advised work=300000",
        &[step(
            6,
            4_000,
            1_000,
            300_000,
            ",\"longRunning\":true,\"maxPerServer\":1",
        )],
    );
    let handed = site.submit("council-pack", "00000000000000f1", &body);
    if handed.accepted.is_none() {
        site.finish("not played: the job was not accepted");
        return None;
    }
    pause(1.3);
    if trouble {
        site.note("the runner starts again under its id");
        runner.restart();
    }
    // The rule counts from 6 s after the last run of a task, and 3 s more, both in calm.
    pause(25.0);
    let began = site.now();
    while site.now() < began + 3.5 && site.running(&handed.id) < 6 {
        pause(0.05);
    }
    let (running, waited) = (site.running(&handed.id), site.now() - began + 25.0);
    let tickets = site
        .journal
        .rejected
        .lock()
        .unwrap()
        .get("ticket")
        .copied()
        .unwrap_or(0);
    let broken = running < 6;
    site.finish(&match broken {
        true => format!("LOST broken: {running} of 6 tasks that last run, {:.1} s after the runner was back; {tickets} starts were rejected with reason ticket", waited),
        false => format!("LOST held: all {running} tasks run; {tickets} starts were rejected with reason ticket"),
    });
    Some(broken)
}

/// A runner leaves one start of a job of 20 tasks unanswered. Just after it has come, the runner is cut off, and ends behind the cut.
/// At the end of the cut, 5.4 s later, it has started again under its id, and carries out that start.
fn late(folder: &str, trouble: bool) -> Option<bool> {
    let routes = [route("quick-quote", "quoting", false)];
    let site = Site::start(
        folder,
        kinds("quoting", 8, false),
        &config(1, &routes, "quoting"),
    )?;
    pause(5.0);
    let runner = std::sync::Arc::clone(&site.runners.lock().unwrap()[2]);
    if trouble {
        runner.hold_start();
    }
    let body = job("work=8000", &[step(20, 20_000, 8_000, 8_000, "")]);
    let handed = site.submit("quick-quote", "00000000000000aa", &body);
    if handed.accepted.is_none() || (trouble && !wait(3.0, || runner.holds_start())) {
        site.finish("not played: the job was not accepted, or the runner got no start");
        return None;
    }
    if trouble {
        site.note("a runner has left a start unanswered, is cut off, and ends");
        runner.go_dark();
        pause(5.4);
        site.note("the cut is over, and the runner has started again under its id");
        runner.restart();
    }
    if !wait(40.0, || site.state(&handed) == "done") {
        site.note("the job is not done in time");
    }
    let twice = site.overlaps();
    let broken = !twice.is_empty();
    site.finish(&match broken {
        true => format!("TWICE broken: {}", twice.join("; ")),
        false => "TWICE held: no task had two runs at the same time".to_owned(),
    });
    Some(broken)
}
