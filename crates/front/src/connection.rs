//! Connections to endpoints, kept between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use edge::EventLoop;
use http_body_util::Full;
use hyper::body::{
    Bytes,
    Incoming, //
};
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper::{
    Request,
    Response, //
};
use ids::{
    Clock,
    Monotonic,
    Tick, //
};
use relay::Failure;
use rustix::net::sockopt::set_socket_linger;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol::{
    Task,
    Timer, //
};
use smol_hyper::rt::FuturesIo;

/// An idle connection is not used again after this time, whatever the endpoint says: an endpoint
/// that is gone shows only when it is used.
const IDLE_MOST: Duration = Duration::from_secs(4);
/// The same for requests that must not run twice, since one lost on a kept connection may have
/// run.
const IDLE_ONCE: Duration = Duration::from_millis(700);
/// Part of the time that an endpoint says it keeps an idle connection.
const KEPT_PART: u32 = 2;
/// How long a new connection may take; an endpoint is a few milliseconds away.
const CONNECT: Duration = Duration::from_millis(600);
/// How long a connection may take to be ready for its next request after an answer's end.
const SETTLE: Duration = Duration::from_millis(100);
/// Idle connections kept for each endpoint.
const IDLE_LINKS: usize = 32;

/// A connection. Dropping it resets it, so that an endpoint stops its work at once and bytes that
/// are held up on the way never arrive.
#[derive(Debug)]
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    _wire: Task<()>,
    address: SocketAddr,
    instance: String,
}

struct Idle {
    link: Link,
    until: Tick,
    once: Tick,
}

/// Idle connections by address and instance.
type Places = HashMap<(SocketAddr, String), Vec<Idle>>;

/// The idle connections.
#[derive(Clone)]
pub(crate) struct Links {
    tasks: EventLoop,
    idle: Rc<RefCell<Places>>,
    clock: Monotonic,
}

/// Where an attempt goes.
pub(crate) struct Target<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) instance: &'a str,
    /// Whether the request must not run twice.
    pub(crate) once: bool,
}

impl Links {
    pub(crate) fn new(tasks: EventLoop, clock: Monotonic) -> Self {
        Self {
            tasks,
            idle: Rc::default(),
            clock,
        }
    }

    /// Sends a request, on a kept connection if there is one. Returns whether the connection was
    /// new.
    pub(crate) async fn send(
        &self,
        target: &Target<'_>,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Link, bool), Failure> {
        let mut request = request;
        while let Some(mut link) = self.take(target) {
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, link, false)),
                Err(mut fault) => match fault.take_message() {
                    // The endpoint had closed the connection; nothing was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(broken(&fault.into_error())),
                },
            }
        }
        let mut link = self.connect(target).await.map_err(|_| Failure::Unreached)?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok((response, link, true)),
            Err(mut fault) => match fault.take_message() {
                Some(_) => Err(Failure::Unreached),
                None => Err(broken(&fault.into_error())),
            },
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, mut link: Link, kept: Option<Duration>) {
        let links = self.clone();
        let task = async move {
            let settle = async {
                Timer::after(SETTLE).await;
                false
            };
            let ready = async { link.sender.ready().await.is_ok() };
            if ready.or(settle).await {
                links.put(link, kept);
            }
        };
        self.tasks.spawn(task).detach();
    }

    fn put(&self, link: Link, kept: Option<Duration>) {
        let now = self.clock.now();
        let kept = kept.map_or(IDLE_MOST, |kept| (kept / KEPT_PART).min(IDLE_MOST));
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|idle| now < idle.until && !idle.link.sender.is_closed());
        }
        idle.retain(|_, links| !links.is_empty());
        let place = idle
            .entry((link.address, link.instance.clone()))
            .or_default();
        if place.len() < IDLE_LINKS {
            place.push(Idle {
                link,
                until: now + kept,
                once: now + kept.min(IDLE_ONCE),
            });
        }
    }

    /// Takes the connection used last.
    fn take(&self, target: &Target<'_>) -> Option<Link> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&(target.address, target.instance.to_owned()))?;
        while let Some(idle) = links.pop() {
            let until = if target.once { idle.once } else { idle.until };
            if now < until && idle.link.sender.is_ready() {
                return Some(idle.link);
            }
        }
        None
    }

    async fn connect(&self, target: &Target<'_>) -> io::Result<Link> {
        let late = async {
            Timer::after(CONNECT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(target.address).or(late).await?;
        stream.set_nodelay(true)?;
        set_socket_linger(&stream, Some(Duration::ZERO))?;
        let shake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, wire) = shake.map_err(io::Error::other)?;
        let wire = self.tasks.spawn(async move {
            // How a connection ends shows in the requests on it.
            let _ = wire.await;
        });
        Ok(Link {
            sender,
            _wire: wire,
            address: target.address,
            instance: target.instance.to_owned(),
        })
    }
}

fn broken(fault: &hyper::Error) -> Failure {
    if fault.is_parse() {
        Failure::Garbled
    } else {
        Failure::Broken
    }
}
