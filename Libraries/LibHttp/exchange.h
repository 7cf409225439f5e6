// One request that an HTTP server received, and the way to answer it.

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

// The parts of a received request.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  Headers headers;
  std::string body;
  // The peer's IP number and port, for logs.
  std::string peer;
};

// Shared by the server and the code that answers. It stays valid after the
// connection is gone; writing to it then has no effect. Every exchange must be
// answered by Respond, or by StartStream and Finish or Abort.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  explicit Exchange(Request request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const Request& request() const { return request_; }

  // Answers with a whole body.
  void Respond(int status, const Headers& headers, std::string body);
  // Begins an answer of unknown length.
  void StartStream(int status, const Headers& headers);
  // Appends to the stream's body.
  void Write(std::string_view chunk);
  // Ends the stream's body properly.
  void Finish();
  // Breaks the connection after what was written, so that the peer sees the
  // body as incomplete.
  void Abort();

  // True while the peer's connection is open.
  bool is_open() const { return connection_ != nullptr; }
  bool is_started() const { return started_; }
  // Bytes written and not yet handed to the connection.
  size_t unsent_bytes() const { return buffer_.size() - consumed_; }

  // Calls `callback` once when the connection is gone, whatever the reason.
  void OnClosed(std::function<void()> callback);

 private:
  friend class Server;

  void ResumeConnection();

  Request request_;
  MHD_Connection* connection_ = nullptr;
  std::function<void()> wake_server_;
  std::function<void()> on_closed_;
  std::string buffer_;
  size_t consumed_ = 0;
  bool suspended_ = false;
  bool started_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  int status_ = 0;
  Headers response_headers_;
  bool is_stream_ = false;
  bool queued_ = false;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_EXCHANGE_H_
