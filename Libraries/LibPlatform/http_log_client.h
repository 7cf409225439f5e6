// HTTP client of the log service; docs/PROTOCOLS.md lists the calls.

#ifndef LIBPLATFORM_HTTP_LOG_CLIENT_H_
#define LIBPLATFORM_HTTP_LOG_CLIENT_H_

#include <string>

#include "LibCore/socket_address.h"
#include "LibHttp/client.h"
#include "LibPlatform/log_client.h"

namespace wasabi::platform {

struct HttpLogClientOptions {
  core::SocketAddress address;
  // Bounds an append from connecting to the complete response.
  core::Duration append_timeout = core::seconds(2);
  // Bounds a read, in addition to the time that the log may hold it.
  core::Duration read_timeout = core::seconds(2);
  // Maximum number of records in a page; bounds the memory and the time that a
  // page takes.
  int page_records = 100;
};

class HttpLogClient : public LogClient {
 public:
  // `client` must outlive this object.
  HttpLogClient(http::Client* client, const HttpLogClientOptions& options);

  // Uses a new connection for each append: on a reused one, libcurl silently
  // resends the request when the connection breaks before the response.
  void Append(const std::string& stream,
              std::string body,
              AppendCallback callback) override;
  void Read(const std::string& stream,
            Offset from,
            core::Duration wait,
            ReadCallback callback) override;
  void Bounds(const std::string& stream, ReadCallback callback) override;

 private:
  void FetchPage(const std::string& target,
                 core::Duration timeout,
                 ReadCallback callback);

  http::Client* client_;
  const HttpLogClientOptions options_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_HTTP_LOG_CLIENT_H_
