// A TCP server that answers HTTP requests with configured bytes, which may be
// malformed.

#ifndef TESTS_SUPPORT_RAWSERVER_RAW_SERVER_H_
#define TESTS_SUPPORT_RAWSERVER_RAW_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::support {

class RawServer {
 public:
  // Starts listening on `address`. Aborts the process if that fails. `loop`
  // must outlive the server.
  RawServer(core::EventLoop* loop, const core::SocketAddress& address);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Sets the answer to all further requests. If `closes`, the connection is
  // closed gracefully after the answer, also after one of SetResponder.
  void SetAnswer(std::string answer, bool closes);
  // Sets a callback that receives the text of each request and returns the
  // answer. It takes precedence over the answer of SetAnswer.
  void SetResponder(
      std::function<std::string(const std::string& text)> respond);
  // Sets whether a request is answered as soon as its head has arrived. The
  // rest of the connection is not read then.
  void SetAnswersEarly(bool answers_early) { answers_early_ = answers_early; }
  // Writes `bytes` to every open connection.
  void WriteToAll(std::string_view bytes);
  void StopListening();
  // Closes every open connection without what it has not sent yet.
  void CloseAll();
  // Resets every open connection once the kernel has all bytes to send, as far
  // as it takes them at once.
  void ResetAll();
  // Half-closes every open connection once all bytes have been sent.
  void ShutDownAll();

  const core::SocketAddress& address() const { return address_; }
  // Number of connections accepted so far.
  size_t accepted() const { return accepted_; }
  // Number of complete requests. A request with a body needs a Content-Length.
  int requests() const { return requests_; }
  // Number of open connections.
  size_t open() const { return connections_.size(); }

 private:
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  void AcceptAvailable();
  void OnData(const ConnectionPointer& connection, std::string_view bytes);
  void AnswerEarly(const ConnectionPointer& connection);

  core::EventLoop* const loop_;
  const core::SocketAddress address_;
  int descriptor_ = -1;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::set<ConnectionPointer> connections_;
  std::string answer_;
  bool closes_ = false;
  bool answers_early_ = false;
  std::function<std::string(const std::string& text)> respond_;
  size_t accepted_ = 0;
  int requests_ = 0;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_RAWSERVER_RAW_SERVER_H_
