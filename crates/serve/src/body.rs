//! Bodies of requests, in blocks.
//!
//! A large body is never one piece of memory: pieces of some megabytes that come and go leave the
//! allocator with many times what is in use.

use async_std::io::ReadExt;
use http_types::Request;
use std::io::{self, Read};

/// Size of a block, and of the largest body that is one piece.
const BLOCK_BYTES: usize = 32 << 10;

/// The body of a request.
#[derive(Clone, Debug, Default)]
pub struct Body(Vec<Vec<u8>>);

impl Body {
    /// Reads the body of a request.
    pub async fn read(request: &mut Request) -> io::Result<Body> {
        let first_bytes = request.len().unwrap_or(BLOCK_BYTES).min(BLOCK_BYTES);
        let mut blocks: Vec<Vec<u8>> = vec![Vec::with_capacity(first_bytes)];
        let mut buffer = vec![0; first_bytes.max(1)];
        loop {
            let count = request.read(&mut buffer).await?;
            if count == 0 {
                return Ok(Body(blocks));
            }
            let mut bytes = &buffer[..count];
            while !bytes.is_empty() {
                if blocks.last().is_none_or(|block| block.len() == block.capacity()) {
                    blocks.push(Vec::with_capacity(BLOCK_BYTES));
                }
                let block = blocks.last_mut().expect("there is a block");
                let room = block.capacity() - block.len();
                let (fitting, rest) = bytes.split_at(bytes.len().min(room));
                block.extend_from_slice(fitting);
                bytes = rest;
            }
        }
    }

    /// Returns the bytes if they are one piece, as those of all bodies but large ones are.
    pub fn as_slice(&self) -> Option<&[u8]> {
        match self.0.as_slice() {
            [] => Some(&[]),
            [block] => Some(block),
            _ => None,
        }
    }

    /// Returns the pieces in order.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.0.iter().map(Vec::as_slice)
    }

    /// Returns a reader of the bytes.
    pub fn reader(&self) -> Reader<'_> {
        Reader { blocks: &self.0, position: 0 }
    }

    /// Returns a copy of the bytes in one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        self.0.concat()
    }
}

/// Reader of a [`Body`].
#[derive(Debug)]
pub struct Reader<'a> {
    blocks: &'a [Vec<u8>],
    /// Bytes of the first block that were read.
    position: usize,
}

impl Read for Reader<'_> {
    fn read(&mut self, target: &mut [u8]) -> io::Result<usize> {
        while let Some((block, rest)) = self.blocks.split_first() {
            let count = Read::read(&mut &block[self.position..], target)?;
            self.position += count;
            if count > 0 || target.is_empty() {
                return Ok(count);
            }
            (self.blocks, self.position) = (rest, 0);
        }
        Ok(0)
    }
}
