// The sockets that libcurl has open, by the addresses of their connections:
// before it sends a request it says on which connection, but not on which
// socket.

#ifndef LIBHTTP_OPEN_SOCKETS_H_
#define LIBHTTP_OPEN_SOCKETS_H_

#include <map>
#include <set>
#include <utility>

#include "LibCore/socket_address.h"

namespace wasabi::http {

// Returns whether the peer's kernel has confirmed all bytes that were sent on a
// connection, or this kernel doesn't tell.
bool HasDeliveredAll(int descriptor);

class OpenSockets {
 public:
  // Opens a socket. Returns its descriptor, or -1.
  int Open(int family, int type, int protocol);
  // Closes a socket. Returns the result of close().
  int Close(int descriptor);
  // Returns the descriptor of a connection, or -1.
  int Find(const core::SocketAddress& local, const core::SocketAddress& remote);
  // Returns whether bytes have arrived on the connection that nobody has read.
  bool HasWaitingBytes(const core::SocketAddress& local,
                       const core::SocketAddress& remote);

 private:
  using Addresses = std::pair<core::SocketAddress, core::SocketAddress>;

  // Adds the connections that were established since the last call.
  void AddConnected();

  // Sockets that were not connected when last seen.
  std::set<int> unconnected_;
  std::map<Addresses, int> connected_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_OPEN_SOCKETS_H_
