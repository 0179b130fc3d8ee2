//! An in-process control instance: the operators' API over a state without a replicated log.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};

use lilacspindle::domain::state::{Command, State};
use lilacspindle::roles::control::operator_api::{OperatorPort, catchers, routes};
use lilacspindle::rpc::control::ControlError;
use rocket::fairing::AdHoc;
use rocket::figment::Figment;
use serde_json::json;

pub const TOKEN: &str = "secret-operator-token";

/// How the instance answers commands and reads.
#[derive(Clone)]
pub enum Role {
    Leader,
    Follower(Option<SocketAddr>),
    /// Applies a command but answers that it is undecided, as if the real answer was lost.
    Forgetful,
}

/// The state and the index of its last applied command.
pub type Shared = Arc<Mutex<(State, u64)>>;

pub fn apply(shared: &Shared, command: &Command) -> lilacspindle::domain::state::Response {
    let mut shared = shared.lock().unwrap();
    shared.1 += 1;
    let index = shared.1;
    shared.0.apply(index, command).0
}

pub fn port(shared: &Shared, role: &Role) -> OperatorPort {
    let (for_submit, for_read) = (shared.clone(), shared.clone());
    let (role, read_role) = (role.clone(), role.clone());
    OperatorPort {
        token: Some(TOKEN.to_owned()),
        submit: Box::new(move |command| {
            let answer = match &role {
                Role::Leader => Ok(apply(&for_submit, &command)),
                Role::Follower(leader) => Err(ControlError::NotLeader { leader: *leader }),
                Role::Forgetful => {
                    apply(&for_submit, &command);
                    Err(ControlError::Undecided)
                }
            };
            Box::pin(async move { answer })
        }),
        read: Box::new(move |task| {
            let mut answer = Ok(());
            if let Role::Follower(leader) = &read_role {
                answer = Err(ControlError::NotLeader { leader: *leader });
            } else {
                task(&for_read.lock().unwrap().0);
            }
            Box::pin(async move { answer })
        }),
        status: Box::new(|| Box::pin(async { json!({ "role": "test" }) })),
    }
}

pub fn rocket(shared: &Shared, role: &Role) -> rocket::Rocket<rocket::Build> {
    let figment = Figment::from(rocket::Config::default())
        .merge(("address", "127.0.0.1"))
        .merge(("port", 0))
        .merge(("workers", 2))
        .merge(("shutdown.ctrlc", false))
        .merge(("log_level", "off"));
    rocket::custom(figment)
        .manage(port(shared, role))
        .mount("/", routes())
        .register("/v1", catchers())
}

/// Serves the API in a thread until the test process ends, and returns the address.
pub fn serve(shared: &Shared, role: &Role) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    let rocket = rocket(shared, role).attach(AdHoc::on_liftoff("port", |rocket| {
        let port = rocket.config().port;
        Box::pin(async move { sender.send(port).unwrap() })
    }));
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(rocket.launch()).unwrap();
    });
    SocketAddr::from(([127, 0, 0, 1], receiver.recv().unwrap()))
}
