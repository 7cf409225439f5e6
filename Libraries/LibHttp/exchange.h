// A request that Server received, and the operations that send its response.

#ifndef LIBHTTP_EXCHANGE_H_
#define LIBHTTP_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "LibHttp/headers.h"

struct MHD_Connection;

namespace wasabi::http {

// A received request with its decoded path and query.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  Headers headers;
  std::string body;
  // The IP address and port of the client, for logs.
  std::string peer;
};

// Shared by the server and the code that produces the response. It stays valid
// after the connection is closed; writes then have no effect. Every exchange
// must be completed by Respond, by StartStream followed by Finish, or by Abort.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  explicit Exchange(Request request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const Request& request() const { return request_; }

  // Sends a complete response. Has no effect after a response was started.
  void Respond(int status, const Headers& headers, std::string body);
  // Starts a streamed response whose length is not known in advance. Has no
  // effect after a response was started.
  void StartStream(int status, const Headers& headers);
  // Appends `chunk` to the body of the streamed response.
  void Write(std::string_view chunk);
  // Completes the body of the streamed response.
  void Finish();
  // Closes the connection after the bytes written so far without completing the
  // body, so that the client detects a truncated response.
  void Abort();

  // True until the request has ended or its connection is closed.
  bool is_open() const { return connection_ != nullptr; }
  // True once a response was started.
  bool is_started() const { return started_; }
  // Bytes that were written but not yet passed to libmicrohttpd.
  size_t unsent_bytes() const { return buffer_.size() - buffer_offset_; }

  // Calls `callback` once when the request has ended for any reason, including
  // a complete response.
  void OnClosed(std::function<void()> callback);

 private:
  friend class Server;

  // Lets libmicrohttpd continue with a suspended connection.
  void ResumeConnection();

  Request request_;
  // Null once the request has ended.
  MHD_Connection* connection_ = nullptr;
  std::function<void()> schedule_run_;
  std::function<void()> on_closed_;
  // Body bytes; the first `buffer_offset_` of them were already read.
  std::string buffer_;
  size_t buffer_offset_ = 0;
  bool suspended_ = false;
  bool started_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  int status_ = 0;
  Headers response_headers_;
  bool is_stream_ = false;
  bool response_queued_ = false;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_EXCHANGE_H_
