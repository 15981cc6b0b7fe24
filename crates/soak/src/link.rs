//! TCP proxies between the entries and the services.

use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Mutex,
        watch, //
    },
    task::spawn_local,
    time::{
        Instant,
        sleep, //
    },
};

/// A connection that has carried nothing for this long counts as idle.
const IDLE_TIME: Duration = Duration::from_millis(50);
/// Largest part of a stream that is carried at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What becomes of held bytes once their sender has closed the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Held {
    /// They are carried when the mode changes, in any order.
    Kept,
    /// They are carried when the mode changes, in the order of their arrival, as calls that arrive late.
    Queued,
    /// They are dropped, as by a machine that can't be reached.
    Dropped,
}

/// What a proxy does with bytes and new connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// It carries them.
    Pass,
    /// It carries them later.
    Delay(Duration),
    /// It accepts connections and carries nothing until the mode changes.
    Hold(Held),
    /// It ends open connections and listens no longer.
    Refuse,
}

/// Which connections end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Close {
    /// All, with a reset.
    Reset,
    /// Those that carry nothing, gracefully.
    Idle,
}

/// A proxy.
#[derive(Debug)]
pub struct Link {
    mode: watch::Sender<Mode>,
    close: watch::Sender<(u64, Close)>,
}

impl Link {
    /// Starts a proxy, which must run on a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if the address is not free.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::Pass);
        let (close, closes) = watch::channel((0, Close::Idle));
        spawn_local(serve(listener, address, target, modes, closes));
        Ok((Self { mode, close }, address))
    }

    /// Sets the mode.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Ends connections.
    pub fn close(&self, close: Close) {
        self.close
            .send_modify(|(count, which)| (*count, *which) = (*count + 1, close));
    }
}

async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut modes: watch::Receiver<Mode>,
    closes: watch::Receiver<(u64, Close)>,
) {
    let mut listener = Some(listener);
    let turns = Rc::new(Mutex::new(()));
    loop {
        let mode = *modes.borrow_and_update();
        if mode == Mode::Refuse {
            listener = None;
            if modes.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                sleep(IDLE_TIME).await;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    spawn_local(carry(
                        stream,
                        target,
                        modes.clone(),
                        closes.clone(),
                        Rc::clone(&turns),
                    ));
                }
            }
            changed = modes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn carry(
    mut near: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<Mode>,
    mut closes: watch::Receiver<(u64, Close)>,
    turns: Rc<Mutex<()>>,
) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (active, activity) = watch::channel(Instant::now());
    let reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = pump(near_read, far_write, modes.clone(), &active, &turns);
        let back = pump(far_read, near_write, modes.clone(), &active, &turns);
        let refused = async {
            let _ = modes.wait_for(|mode| *mode == Mode::Refuse).await;
        };
        let closed = async {
            while closes.changed().await.is_ok() {
                let (_, which) = *closes.borrow_and_update();
                match which {
                    Close::Reset => return true,
                    Close::Idle if activity.borrow().elapsed() >= IDLE_TIME => return false,
                    Close::Idle => {}
                }
            }
            false
        };
        tokio::select! {
            () = there => false,
            () = back => false,
            () = refused => true,
            reset = closed => reset,
        }
    };
    if reset {
        // With a linger time of zero the operating system sends a reset.
        let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
    }
}

/// Carries bytes. What is queued waits for its turn, in which `turns` is locked.
async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut modes: watch::Receiver<Mode>,
    active: &watch::Sender<Instant>,
    turns: &Mutex<()>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut late = false;
    loop {
        let Ok(mut length @ 1..) = from.read(&mut buffer).await else {
            if late {
                // A service ignores a request whose connection ends before the request is read.
                sleep(IDLE_TIME).await;
            }
            return;
        };
        late = false;
        let mut turn = None;
        active.send_replace(Instant::now());
        loop {
            let mode = *modes.borrow_and_update();
            match mode {
                Mode::Pass => break,
                Mode::Delay(delay) => {
                    sleep(delay).await;
                    break;
                }
                Mode::Hold(Held::Dropped) if length < BUFFER_BYTES => {
                    tokio::select! {
                        biased;
                        more = from.read(&mut buffer[length..]) => match more {
                            Ok(more @ 1..) => length += more,
                            _ => return,
                        },
                        changed = modes.changed() => {
                            if changed.is_err() {
                                return;
                            }
                        }
                    }
                }
                Mode::Hold(Held::Queued) if turn.is_none() => {
                    late = true;
                    // The lock is given in the order in which it was asked for.
                    turn = Some(turns.lock().await);
                }
                Mode::Hold(_) | Mode::Refuse => {
                    late = true;
                    if modes.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
