#include "LibHttp/accept.h"

#include <sys/socket.h>

#include <cerrno>

namespace wasabi::http {

std::vector<AcceptedSocket> AcceptWaiting(int listener) {
  std::vector<AcceptedSocket> sockets;
  while (true) {
    AcceptedSocket it;
    socklen_t size = sizeof(it.peer);
    it.descriptor = accept4(listener, reinterpret_cast<sockaddr*>(&it.peer),
                            &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (it.descriptor >= 0) {
      sockets.push_back(it);
      continue;
    }
    // The client gave up, or a signal came; others may wait.
    if (errno != ECONNABORTED && errno != EINTR) {
      return sockets;
    }
  }
}

}  // namespace wasabi::http
