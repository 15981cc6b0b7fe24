// Scenarios of the scripts. Each returns whether its rule was broken.

fn scenario(name: &str, site: &Arc<Site>, entries: &Entries, trouble: bool) -> bool {
    match name {
        "flapping-runner" => flapping_runner(site, entries, trouble),
        "past-schedule" => past_schedule(site, entries, trouble),
        "crash-loop" => crash_loop(site, entries, trouble),
        _ => cannot_run("no such scenario"),
    }
}

/// Jobs whose tasks need the label of a runner that goes down and up by turns for some seconds.
fn flapping_runner(site: &Arc<Site>, entries: &Entries, trouble: bool) -> bool {
    // The period and the length of `srv_flap`; one of ten runners of the service is a share of 0.1.
    const PERIOD: Duration = Duration::from_millis(880);
    const LENGTH: Duration = Duration::from_millis(6_400);
    const TIMES: usize = 3;
    const PAUSE: Duration = Duration::from_millis(1_000);
    let machine = Arc::clone(&site.machines[0]);
    let body = "{\"spec\":\"ms=1200 cpu=1000\",\"phases\":[{\"count\":1,\"cpu\":1000,\"memMb\":64,\"estimateMs\":1200,\"requiredLabel\":\"k64b\"}]}";
    let mut accepted = Vec::new();
    let mut hand_in = |number: u64| {
        let id = format!("{:016x}", 0x4000_0000_0000_0000_u64 + number);
        if submit(site, entries, "quoting", &id, body) {
            accepted.push(id);
        }
    };
    for number in 0..3 {
        hand_in(number);
        thread::sleep(Duration::from_millis(500));
    }
    let flapping = trouble.then(|| {
        let (site, machine) = (Arc::clone(site), Arc::clone(&machine));
        thread::spawn(move || {
            for _ in 0..TIMES {
                let from = Instant::now();
                while from.elapsed() < LENGTH {
                    site.crash(&machine, false);
                    thread::sleep(PERIOD / 2);
                    site.boot(&machine, None);
                    site.note("the runner is back");
                    thread::sleep(PERIOD / 2);
                }
                thread::sleep(PAUSE);
            }
            site.note("the runner stays up from now on");
        })
    });
    for number in 3..30 {
        hand_in(number);
        thread::sleep(Duration::from_millis(700));
    }
    if let Some(flapping) = flapping {
        let _ = flapping.join();
    }
    site.note("the traffic and the disruption have ended");
    thread::sleep(Duration::from_secs(20));
    let mut broken = 0;
    for id in &accepted {
        let last = state(site, entries, "quoting", id);
        let past = lock(&site.past);
        let ends = |how: &str| past.iter().filter(|p| p.task.starts_with(id.as_str()) && p.how == how).count();
        let (failed, died, lapsed) = (ends("failed"), ends("died"), ends("lapsed"));
        if last == "failed" && failed + died + lapsed < usize::from(MAX_ATTEMPTS) {
            broken += 1;
            let text = format!("job {id} is shown as failed, and nobody cancelled it; of its runs {failed} ended failed, {lapsed} lapsed, {died} ended with their runner; maxAttempts is {MAX_ATTEMPTS}");
            drop(past);
            site.note(&text);
        } else if last == "failed" {
            drop(past);
            site.note(&format!("job {id} is shown as failed after {died} runs that ended with their runner; not counted"));
        }
    }
    site.note(&format!("{broken} of {} accepted jobs are shown as failed without cause", accepted.len()));
    broken > 0
}

/// One job that lasts, and whose runs all end failed, beside ordinary jobs.
fn crash_loop(site: &Arc<Site>, entries: &Entries, trouble: bool) -> bool {
    let ordinary = |number: u64| {
        let id = format!("{:016x}", 0x3000_0000_0000_0000_u64 + number);
        let body = "{\"spec\":\"ms=400 cpu=3500\",\"phases\":[{\"count\":6,\"cpu\":3500,\"memMb\":64,\"estimateMs\":400}]}";
        submit(site, entries, "quoting", &id, body).then_some(id)
    };
    let running = |prefix: &str| -> usize {
        let count = |machine: &Arc<Machine>| {
            let mut guard = lock(&machine.life);
            let Some(life) = guard.as_mut() else { return 0 };
            site.advance(machine, life);
            life.runs.iter().filter(|run| run.task.starts_with(prefix)).count()
        };
        site.machines.iter().map(count).sum()
    };
    let wait_for = |prefix: &str, count: usize| {
        let from = Instant::now();
        while running(prefix) < count {
            if from.elapsed() > Duration::from_secs(20) {
                cannot_run("the work before the disruption does not start");
            }
            thread::sleep(Duration::from_millis(100));
        }
    };
    // Each machine of the service has a task that lasts, and another service needs all spare machines.
    let sound = "{\"spec\":\"lasting cpu=1800\",\"phases\":[{\"count\":10,\"cpu\":1800,\"memMb\":64,\"estimateMs\":500,\"longRunning\":true,\"maxPerServer\":1}]}";
    let large = "{\"spec\":\"ms=110000 cpu=60000\",\"phases\":[{\"count\":14,\"cpu\":60000,\"memMb\":64,\"estimateMs\":110000}]}";
    if !submit(site, entries, "quoting", "5c0e7a21d94b3607", sound) {
        cannot_run("a job was not accepted");
    }
    wait_for("5c0e7a21d94b3607", 10);
    if !submit(site, entries, "designer", "5c0e7a21d94b3608", large) {
        cannot_run("a job was not accepted");
    }
    wait_for("5c0e7a21d94b3608", 9);
    let mut accepted = Vec::new();
    for number in 0..20 {
        accepted.extend(ordinary(number));
        thread::sleep(Duration::from_millis(100));
    }
    let fails = if trouble { "fails ms=300" } else { "lasting" };
    let body = format!("{{\"spec\":\"{fails} cpu=1800\",\"phases\":[{{\"count\":8,\"cpu\":1800,\"memMb\":64,\"estimateMs\":500,\"longRunning\":true,\"maxPerServer\":1}}]}}");
    if !submit(site, entries, "quoting", "5c0e7a21d94b3604", &body) {
        cannot_run("the lasting job was not accepted");
    }
    thread::sleep(Duration::from_secs(32));
    for number in 20..30 {
        accepted.extend(ordinary(number));
        thread::sleep(Duration::from_millis(300));
    }
    stuck(site, entries, &accepted)
}

/// A schedule that began a day ago, beside ordinary jobs of another service.
fn past_schedule(site: &Arc<Site>, entries: &Entries, trouble: bool) -> bool {
    const DAY_S: u64 = 86_400;
    let began_s = if trouble { DAY_S } else { 0 };
    let body = format!(
        "{{\"spec\":\"quiet ms=100 cpu=100\",\"phases\":[{{\"count\":1,\"cpu\":100,\"memMb\":32,\"estimateMs\":100}}],\"repeatCount\":{},\"firstMs\":{},\"periodMs\":1000}}",
        DAY_S + 60,
        unix_ms() - began_s * 1_000
    );
    let ordinary = "{\"spec\":\"quiet ms=1300 cpu=3500\",\"phases\":[{\"count\":3,\"cpu\":3500,\"memMb\":64,\"estimateMs\":1300},{\"count\":3,\"cpu\":3500,\"memMb\":64,\"estimateMs\":1300,\"dependsOn\":[0]}]}";
    let (mut number, mut accepted) = (0_u64, Vec::new());
    let mut hand_in = || {
        let id = format!("{:016x}", 0x5000_0000_0000_0000_u64 + number);
        number += 1;
        if submit(site, entries, "quoting", &id, ordinary) {
            accepted.push(id);
        }
    };
    for _ in 0..5 {
        hand_in();
        thread::sleep(Duration::from_millis(100));
    }
    // It may be stored without an answer; the client hands it in again.
    submit(site, entries, "designer", "5c0e7a21d94b3605", &body);
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(25) {
        hand_in();
        thread::sleep(Duration::from_millis(700));
    }
    stuck(site, entries, &accepted)
}

/// Tells whether accepted jobs of `quoting` have nothing running in the last 3 s of `finish_s` after the end of the traffic,
/// although their tasks' turn has come and under half of the service is in use.
fn stuck(site: &Arc<Site>, entries: &Entries, accepted: &[String]) -> bool {
    site.note("the traffic has ended");
    thread::sleep(Duration::from_secs(11));
    let mut idle: HashMap<String, bool> = accepted.iter().map(|id| (id.clone(), true)).collect();
    let mut most_used = 0;
    let watched = Instant::now();
    while watched.elapsed() < Duration::from_millis(3_100) {
        for id in accepted {
            if site.is_running(id) {
                idle.insert(id.clone(), false);
            }
        }
        most_used = most_used.max(site.used_percent("quoting"));
        thread::sleep(Duration::from_millis(50));
    }
    let mut lost = 0;
    for id in accepted {
        let ended = lock(&site.past).iter().filter(|p| p.task.starts_with(id.as_str()) && p.how == "done").count();
        // All tasks have ended as done: the runners know that without a question.
        if ended >= 6 || !idle[id] || most_used >= 50 {
            continue;
        }
        lost += 1;
        let begun = lock(&site.begun).get(id).copied();
        site.note(&format!("job {id} was accepted, begun {begun:?}, {ended} of 6 tasks are done; nothing of it ran for 3 s, {most_used}% of the service were in use"));
    }
    if let Some(id) = accepted.first() {
        state(site, entries, "quoting", id);
    }
    site.note(&format!("{lost} of {} accepted jobs are stuck", accepted.len()));
    lost > 0
}
