// A client's connection to RequestServer. It processes one request at a time
// and detects while a response is pending that the client disconnects.

#ifndef LIBHTTP_REQUEST_CONNECTION_H_
#define LIBHTTP_REQUEST_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/event_loop.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/tcp_stream.h"
#include "LibHttp/transaction.h"

namespace wasabi::http {

// Size and time limits for a client connection.
struct CallerLimits {
  ParserLimits parser;
  // Maximum time from the first byte of a request to the end of its headers.
  core::Duration header_timeout = core::seconds(5);
  // Maximum time without a received byte, between requests or within a body.
  core::Duration idle_timeout = core::seconds(60);

  bool operator==(const CallerLimits& other) const {
    return parser.max_header_bytes == other.parser.max_header_bytes &&
           parser.max_body_bytes == other.parser.max_body_bytes &&
           header_timeout == other.header_timeout &&
           idle_timeout == other.idle_timeout;
  }
};

// Owned by RequestServer. All callbacks run on the event loop.
class RequestConnection
    : public std::enable_shared_from_this<RequestConnection> {
 public:
  struct Callbacks {
    // A complete request was received.
    std::function<void(const std::shared_ptr<Transaction>& transaction)>
        on_request;
    // The connection is closed; this is the last callback.
    std::function<void(RequestConnection* connection)> on_closed;
    // A malformed, too large or incomplete request was rejected with this HTTP
    // status, and is not passed to `on_request`. `request` is what has been
    // read of it; its headers are empty if they were not read to the end.
    std::function<void(int status, const InboundRequest& request)> on_rejected;
  };

  RequestConnection(core::EventLoop* loop,
                    std::shared_ptr<TcpStream> stream,
                    const CallerLimits& limits,
                    std::shared_ptr<BufferMemory> memory,
                    Callbacks callbacks);

  void Start();
  // Closes the connection if a timeout has expired. The server calls this
  // periodically.
  void CheckTimeouts(core::TimePoint now);
  // Makes the next response that starts carry "Connection: close" and close the
  // connection, unless another request is being received already.
  void CloseAfterNextResponse() { closes_after_response_ = true; }
  // From now on closes the connection when no request is being received or
  // processed. A new connection gets some time for its first request.
  void CloseWhenIdle();
  // Answers a request of which only a part has been received with 503, since it
  // will not be processed.
  void RefuseUnread();

  bool is_open() const { return stream_->is_open(); }
  // True while a request is waiting for its response to be completed.
  bool is_answering() const { return transaction_ != nullptr; }
  size_t unsent_bytes() const { return stream_->unsent_bytes(); }
  // Bytes received and not handed on yet, and bytes not sent yet.
  size_t buffered_bytes() const {
    return unsent_bytes() + input_.size() + request_.body.size();
  }

  // The following functions are called by Transaction.
  // Decides, as the response starts, whether the connection closes after it.
  // Bytes of another request, which was sent before its client could know that,
  // keep the connection open.
  bool DecideClosing() {
    closes_after_current_ =
        !is_keep_alive_ || (closes_after_response_ && input_.empty());
    return closes_after_current_;
  }
  void Send(std::string_view bytes);
  // Called when the response is complete.
  void OnAnswered();
  // Closes the connection after the bytes written so far.
  void AbortResponse();
  // Resets the connection.
  void ResetResponse();
  // Ends this object's use of the connection and returns it.
  std::shared_ptr<TcpStream> Release();

 private:
  void OnData(std::string_view bytes);
  void OnEnd();
  void NewParser();
  // Whether no request is being received or processed.
  bool IsIdle() const;
  void CheckClosing(core::TimePoint now);
  void Parse();
  // Tells the memory what the buffers take.
  void RecordHeldBytes();
  void OnHead(MessageHead head);
  void StartTransaction();
  void Reject(int status);
  // Half-closes the connection and keeps reading for kLingerTime.
  void CloseGracefully();
  void Close();

  core::EventLoop* const loop_;
  const std::shared_ptr<TcpStream> stream_;
  const CallerLimits limits_;
  Callbacks callbacks_;
  std::unique_ptr<MessageParser> parser_;
  // Bytes that were received but not parsed yet.
  std::string input_;
  InboundRequest request_;
  BufferMemory::Holding held_;
  // The request whose response is pending, or nullptr.
  std::shared_ptr<Transaction> transaction_;
  bool has_head_ = false;
  bool is_keep_alive_ = true;
  bool closes_after_response_ = false;
  // The response that is being sent says that the connection closes.
  bool closes_after_current_ = false;
  bool closes_when_idle_ = false;
  // A request was received on this connection.
  bool has_had_request_ = false;
  bool is_closing_ = false;
  const core::TimePoint accepted_at_;
  core::TimePoint last_byte_at_;
  // Since when the connection only waits for the client to close it.
  core::TimePoint closing_since_;
  // Bytes that a closing connection had not sent at the last check.
  size_t unsent_at_check_ = 0;
  core::TimePoint request_started_at_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_REQUEST_CONNECTION_H_
