//! Bodies of requests, in blocks.
//!
//! A large body is never one piece of memory: pieces of some megabytes that come and go leave the
//! allocator with many times what is in use.

use async_std::io::ReadExt;
use http_types::Request;
use std::io::{self, Read};

/// Size of a block, and of the largest body that is one piece.
const BLOCK_BYTES: usize = 32 << 10;

/// Size of the first block of a body whose length is not known.
const FIRST_BLOCK_BYTES: usize = 4 << 10;

/// The body of a request.
#[derive(Clone, Debug, Default)]
pub struct Body(Vec<Vec<u8>>);

impl Body {
    /// Reads the body of a request.
    pub async fn read(request: &mut Request) -> io::Result<Body> {
        let length = match request.len() {
            None if request.header("transfer-encoding").is_none() => return Ok(Body::default()),
            length => length,
        };
        let (mut blocks, mut read_bytes) = (Vec::new(), 0);
        loop {
            let size = match length {
                Some(length) => BLOCK_BYTES.min(length - read_bytes),
                None if blocks.is_empty() => FIRST_BLOCK_BYTES,
                None => BLOCK_BYTES,
            };
            let block = read_block(request, size).await?;
            read_bytes += block.len();
            let is_end = block.len() < size || length == Some(read_bytes);
            blocks.push(block);
            if is_end {
                return Ok(Body(blocks));
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

/// Reads a block, which is shorter at the end of the body.
async fn read_block(request: &mut Request, size: usize) -> io::Result<Vec<u8>> {
    let (mut block, mut filled) = (vec![0; size], 0);
    while filled < size {
        match request.read(&mut block[filled..]).await? {
            0 => break,
            count => filled += count,
        }
    }
    block.truncate(filled);
    Ok(block)
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
