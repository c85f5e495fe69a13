//! A state file is loaded as it was saved, lies in the given directory, and is rejected by other
//! routers.

mod support;

use hot_restart::message::MessageError;
use hot_restart::store::{StateStore, StoreError};
use support::state;

#[test]
fn a_state_file_is_loaded_as_saved_and_that_of_another_router_is_rejected() {
    let directory = std::env::temp_dir().join(format!("asterport-store-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let store = StateStore::new(&directory, "n/../1");
    assert!(matches!(store.load(), Ok(None)));
    store.save(state()).expect("saved");
    assert!(matches!(store.load(), Ok(Some(found)) if found == state()));
    assert_eq!(
        store.path().parent(),
        Some(&*directory),
        "a router's name cannot lead to another directory"
    );
    let other = StateStore::new(&directory, "n2");
    std::fs::copy(store.path(), other.path()).expect("copied");
    assert!(matches!(
        other.load(),
        Err(StoreError::Message(MessageError::OtherRouter(_)))
    ));
    std::fs::remove_dir_all(&directory).expect("removed");
}
