//! Bodies in blocks: every size is read whole, with and without a length, and parsed like one piece.

use async_std::io::Cursor;
use async_std::task::block_on;
use http_types::{Body as HttpBody, Request};
use serve::body::Body;
use std::io::Read;

const SIZES: [usize; 9] = [0, 1, 4095, 4096, 4097, 32_768, 36_864, 36_865, 200_000];

fn text(size: usize) -> Vec<u8> {
    (0..size).map(|index| b'a' + (index % 26) as u8).collect()
}

fn request(body: HttpBody) -> Request {
    let mut request = Request::post("http://h/a");
    request.insert_header("transfer-encoding", "chunked");
    request.set_body(body);
    request
}

#[test]
fn bodies_of_any_size_are_read_whole() {
    for size in SIZES {
        let text = text(size);
        let unknown_length = HttpBody::from_reader(Cursor::new(text.clone()), None);
        for body in [HttpBody::from_bytes(text.clone()), unknown_length] {
            let body = block_on(Body::read(&mut request(body))).unwrap();
            assert_eq!(body.to_vec(), text, "{size}");
            let mut read = Vec::new();
            body.reader().read_to_end(&mut read).unwrap();
            assert_eq!(read, text, "{size}");
            assert!(body.as_slice().is_none_or(|bytes| bytes == text), "{size}");
        }
    }
    assert!(block_on(Body::read(&mut Request::get("http://h/a"))).unwrap().to_vec().is_empty());
}

#[test]
fn json_in_blocks_is_parsed_like_one_piece() {
    for count in [1, 1000, 50_000] {
        let numbers: Vec<u32> = (0..count).collect();
        let text = serde_json::to_vec(&numbers).unwrap();
        let body = block_on(Body::read(&mut request(HttpBody::from_bytes(text)))).unwrap();
        assert_eq!(serve::json::parse::<Vec<u32>>(&body).unwrap(), numbers);
        assert!(serve::json::parse::<Vec<bool>>(&body).is_err());
    }
}
