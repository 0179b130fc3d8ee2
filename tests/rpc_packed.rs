//! Documents as they travel between processes.

use lilacspindle::rpc::directory::Published;
use lilacspindle::rpc::{Packed, decode, encode};
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against a document that arrives otherwise than it was published.
    fn document_arrives_as_it_was_published(version: u64, body: Vec<u8>) -> bool {
        let published = Published {
            version,
            body: body.into(),
        };
        let packed = Packed::new(&published).unwrap();
        let arrived: Packed = decode(&encode(&packed).unwrap()).unwrap();
        arrived.unpack().unwrap() == published
    }

    /// Guards against a process that ends because of malformed bytes.
    fn malformed_bytes_are_an_error_or_some_document(bytes: Vec<u8>) -> bool {
        let frame = encode(&(7u64, bytes)).unwrap();
        let packed: Packed = decode(&frame).unwrap();
        packed.unpack().is_ok_and(|published| published.version == 7) || packed.unpack().is_err()
    }
}

/// Guards against the load of a large document: 1,500 routes went to each of 105 entries over one link
/// of 100 Mbit/s, which took 3 s and more.
#[test]
fn document_of_many_routes_takes_a_tenth_of_its_size() {
    let route = |number: usize| {
        format!(
            "{{\"name\":\"r-{number}\",\"host\":\"h{}.example\",\"pathPrefix\":\"/p{number}/\",\
             \"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":150,\"service\":\"classdesk\"}}",
            number % 40
        )
    };
    let routes: Vec<String> = (0..1_500).map(route).collect();
    let body = format!("{{\"version\":6,\"routes\":[{}]}}", routes.join(","));
    let published = Published {
        version: 6,
        body: body.as_bytes().into(),
    };
    let packed = Packed::new(&published).unwrap();
    assert!(
        packed.len() < body.len() / 10,
        "{} of {}",
        packed.len(),
        body.len()
    );
    assert_eq!(packed.unpack().unwrap(), published);
}

/// Guards against a few bytes that take all memory of a process.
#[test]
fn document_beyond_all_bounds_is_refused() {
    let published = Published {
        version: 6,
        body: vec![0; 5 * 1024 * 1024].into(),
    };
    assert!(Packed::new(&published).unwrap().unpack().is_err());
}
