//! Compression of published documents for transfer between processes.

use lilacspindle::rpc::directory::Published;
use lilacspindle::rpc::{Packed, decode, encode};
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against a document that differs from the published one after the transfer.
    fn document_survives_compression_and_encoding(version: u64, body: Vec<u8>) -> bool {
        let published = Published {
            version,
            body: body.into(),
        };
        let packed = Packed::new(&published).unwrap();
        let arrived: Packed = decode(&encode(&packed).unwrap()).unwrap();
        arrived.unpack().unwrap() == published
    }

    /// Guards against a panic on malformed compressed bytes.
    fn malformed_bytes_give_an_error_or_a_document(bytes: Vec<u8>) -> bool {
        let frame = encode(&(7u64, bytes)).unwrap();
        let packed: Packed = decode(&frame).unwrap();
        packed.unpack().is_ok_and(|published| published.version == 7) || packed.unpack().is_err()
    }
}

/// Guards against slow distribution of large documents: uncompressed, 1,500 routes for each of 105
/// entries took 3 s and more over one link of 100 Mbit/s.
#[test]
fn document_of_many_routes_compresses_to_a_tenth() {
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

/// Guards against a decompression bomb: a few bytes that expand until memory runs out.
#[test]
fn oversized_document_is_refused_on_decompression() {
    let published = Published {
        version: 6,
        body: vec![0; 5 * 1024 * 1024].into(),
    };
    assert!(Packed::new(&published).unwrap().unpack().is_err());
}
