// A client whose bytes reach the kernel at once, whether or not the event loop
// runs.

#ifndef TESTS_LIBHTTP_BLOCKING_CLIENT_H_
#define TESTS_LIBHTTP_BLOCKING_CLIENT_H_

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string_view>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::http {

class BlockingClient {
 public:
  // Connects to a listening socket at `address`.
  explicit BlockingClient(const core::SocketAddress& address)
      : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in native = address.ToNative();
    REQUIRE(connect(descriptor_, reinterpret_cast<const sockaddr*>(&native),
                    sizeof(native)) == 0);
  }

  void Write(std::string_view bytes) const {
    REQUIRE(send(descriptor_, bytes.data(), bytes.size(), 0) ==
            static_cast<ssize_t>(bytes.size()));
  }
  // Returns the connection as a stream, which owns it from now on.
  std::shared_ptr<TcpStream> ToStream(core::EventLoop* loop) const {
    return TcpStream::Adopt(loop, descriptor_);
  }

 private:
  const int descriptor_;
};

}  // namespace wasabi::http

#endif  // TESTS_LIBHTTP_BLOCKING_CLIENT_H_
