#include "LibHttp/open_sockets.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabi::http {

int OpenSockets::Open(int family, int type, int protocol) {
  const int descriptor = socket(family, type | SOCK_CLOEXEC, protocol);
  if (descriptor >= 0) {
    unconnected_.insert(descriptor);
  }
  return descriptor;
}

int OpenSockets::Close(int descriptor) {
  unconnected_.erase(descriptor);
  std::erase_if(connected_, [descriptor](const auto& it) {
    return it.second == descriptor;
  });
  return close(descriptor);
}

bool OpenSockets::HasWaitingBytes(const core::SocketAddress& local,
                                  const core::SocketAddress& remote) {
  AddConnected();
  const auto it = connected_.find({local, remote});
  char byte = 0;
  return it != connected_.end() &&
         recv(it->second, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void OpenSockets::AddConnected() {
  for (auto it = unconnected_.begin(); it != unconnected_.end();) {
    sockaddr_in local = {};
    sockaddr_in remote = {};
    socklen_t local_size = sizeof(local);
    socklen_t remote_size = sizeof(remote);
    const bool is_connected =
        getsockname(*it, reinterpret_cast<sockaddr*>(&local), &local_size) ==
            0 &&
        getpeername(*it, reinterpret_cast<sockaddr*>(&remote), &remote_size) ==
            0;
    if (!is_connected) {
      ++it;
      continue;
    }
    connected_[{core::SocketAddress::FromNative(local),
                core::SocketAddress::FromNative(remote)}] = *it;
    it = unconnected_.erase(it);
  }
}

}  // namespace wasabi::http
