// One caller's connection to a RequestServer. It takes one request at a time
// and keeps watching the caller while the request is being answered.

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

// What a caller may send, and how long it may take.
struct CallerLimits {
  ParserLimits parser;
  // From the first byte of a request to the end of its headers.
  core::Duration header_timeout = core::seconds(5);
  // Without any byte, between requests or within a body.
  core::Duration idle_timeout = core::seconds(60);

  bool operator==(const CallerLimits& other) const {
    return parser.max_header_bytes == other.parser.max_header_bytes &&
           parser.max_body_bytes == other.parser.max_body_bytes &&
           header_timeout == other.header_timeout &&
           idle_timeout == other.idle_timeout;
  }
};

class RequestConnection
    : public std::enable_shared_from_this<RequestConnection> {
 public:
  struct Callbacks {
    std::function<void(const std::shared_ptr<Transaction>& transaction)>
        on_request;
    // The connection is gone; the last callback.
    std::function<void(RequestConnection* connection)> on_closed;
    // A request was refused before it reached `on_request`.
    std::function<void(int status)> on_rejected;
  };

  RequestConnection(core::EventLoop* loop,
                    std::shared_ptr<TcpStream> stream,
                    const CallerLimits& limits,
                    Callbacks callbacks);

  void Start();
  // Closes what has been idle or slow for too long.
  void CheckTimeouts(core::TimePoint now);
  // Announces the end of the connection with the next answer.
  void CloseAfterNextAnswer() { closes_after_answer_ = true; }
  // Closes the connection if no request is being received or answered.
  void CloseIfIdle();

  bool is_open() const { return stream_->is_open(); }
  bool is_answering() const { return transaction_ != nullptr; }
  size_t unsent_bytes() const { return stream_->unsent_bytes(); }

  // For Transaction.
  bool ClosesAfterAnswer() const {
    return closes_after_answer_ || !is_keep_alive_;
  }
  void Send(std::string_view bytes);
  void OnAnswered();
  void Break();

 private:
  void OnData(std::string_view bytes);
  void OnEnd();
  void NewParser();
  void Parse();
  void OnHead(MessageHead head);
  void StartTransaction();
  void Reject(ParseResult result);
  void CloseGracefully();
  void Close();

  core::EventLoop* const loop_;
  const std::shared_ptr<TcpStream> stream_;
  const CallerLimits limits_;
  Callbacks callbacks_;
  std::unique_ptr<MessageParser> parser_;
  // Bytes that have been received and not parsed.
  std::string input_;
  InboundRequest request_;
  std::shared_ptr<Transaction> transaction_;
  bool has_head_ = false;
  bool is_keep_alive_ = true;
  bool closes_after_answer_ = false;
  bool is_closing_ = false;
  core::TimePoint last_byte_at_;
  core::TimePoint request_started_at_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_REQUEST_CONNECTION_H_
