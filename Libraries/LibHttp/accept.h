// Accepts connections of a listening socket.

#ifndef LIBHTTP_ACCEPT_H_
#define LIBHTTP_ACCEPT_H_

#include <netinet/in.h>

#include <vector>

namespace wasabi::http {

struct AcceptedSocket {
  // Non-blocking; owned by who accepted it.
  int descriptor = -1;
  sockaddr_in peer{};
};

// Accepts the connections that clients have opened so far at `listener`, which
// must be non-blocking. A server that stops does this before it closes the
// listening socket: the kernel resets those that were not accepted.
std::vector<AcceptedSocket> AcceptWaiting(int listener);

}  // namespace wasabi::http

#endif  // LIBHTTP_ACCEPT_H_
