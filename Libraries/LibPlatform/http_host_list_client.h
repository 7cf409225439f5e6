// HTTP client of the platform's host list; docs/PROTOCOLS.md lists the calls.

#ifndef LIBPLATFORM_HTTP_HOST_LIST_CLIENT_H_
#define LIBPLATFORM_HTTP_HOST_LIST_CLIENT_H_

#include "LibCore/socket_address.h"
#include "LibHttp/client.h"
#include "LibPlatform/host_list_client.h"

namespace wasabi::platform {

class HttpHostListClient : public HostListClient {
 public:
  // `client` must outlive this object.
  HttpHostListClient(http::Client* client, const core::SocketAddress& address);

  void Fetch(uint64_t known_version, Callback callback) override;

 private:
  http::Client* client_;
  const core::SocketAddress address_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HTTP_HOST_LIST_CLIENT_H_
