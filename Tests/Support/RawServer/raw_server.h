// A TCP server that answers each request with given bytes, proper or not.

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
  // Starts to listen at `address`, which must be free.
  RawServer(core::EventLoop* loop, const core::SocketAddress& address);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // What each request is answered from now on. With `closes` the connection is
  // closed in order after the answer.
  void SetAnswer(std::string answer, bool closes);
  // Called for each request with its text; returns the answer. Goes before
  // SetAnswer.
  void SetResponder(
      std::function<std::string(const std::string& text)> respond);
  // Sends bytes on every open connection.
  void WriteToAll(std::string_view bytes);
  void StopListening();
  void CloseAll();

  const core::SocketAddress& address() const { return address_; }
  size_t accepted() const { return accepted_; }
  // Whole requests; a body must have a length.
  int requests() const { return requests_; }
  size_t open() const { return connections_.size(); }

 private:
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  void AcceptAvailable();
  void OnData(const ConnectionPointer& connection, std::string_view bytes);

  core::EventLoop* const loop_;
  const core::SocketAddress address_;
  int descriptor_ = -1;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::set<ConnectionPointer> connections_;
  std::string answer_;
  bool closes_ = false;
  std::function<std::string(const std::string& text)> respond_;
  size_t accepted_ = 0;
  int requests_ = 0;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_RAWSERVER_RAW_SERVER_H_
