//! System calls that the standard library does not offer.

use std::ffi::c_int;
use std::io;
use std::mem;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, RawFd};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
pub const SIGKILL: c_int = 9;
pub const SIGTERM: c_int = 15;

#[repr(C)]
struct InternetAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_int, length: u32) -> c_int;
    fn connect(fd: c_int, address: *const InternetAddress, length: u32) -> c_int;
    fn close(fd: c_int) -> c_int;
    fn kill(process: c_int, signal: c_int) -> c_int;
}

/// Opens a connection with a small receive window.
pub fn connect_with_window(address: SocketAddrV4, window_bytes: i32) -> io::Result<TcpStream> {
    let target = InternetAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: plain socket calls with values that live until the calls return.
    let fd: RawFd = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let size = mem::size_of::<c_int>() as u32;
        let set = setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, size);
        let length = mem::size_of::<InternetAddress>() as u32;
        if set != 0 || connect(fd, &target, length) != 0 {
            let error = io::Error::last_os_error();
            close(fd);
            return Err(error);
        }
        fd
    };
    // SAFETY: the descriptor is open and owned by nobody else.
    Ok(unsafe { TcpStream::from_raw_fd(fd) })
}

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, signal: c_int) {
    // SAFETY: `kill` has no memory effects.
    unsafe { kill(process as c_int, signal) };
}
