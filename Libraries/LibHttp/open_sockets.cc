#include "LibHttp/open_sockets.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabi::http {

bool HasDeliveredAll(int descriptor) {
  int bytes = 0;
  return ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes == 0;
}

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

int OpenSockets::Find(const core::SocketAddress& local,
                      const core::SocketAddress& remote) {
  AddConnected();
  const auto it = connected_.find({local, remote});
  return it != connected_.end() ? it->second : -1;
}

bool OpenSockets::HasWaitingBytes(const core::SocketAddress& local,
                                  const core::SocketAddress& remote) {
  const int descriptor = Find(local, remote);
  char byte = 0;
  return descriptor >= 0 &&
         recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
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
