#include "LibHttp/transaction.h"

#include <utility>

#include "LibCore/text.h"
#include "LibHttp/request_connection.h"

namespace wasabi::http {

namespace {

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string SerialiseHead(int status, const Headers& headers) {
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonPhrase(status));
  for (const Headers::Field& field : headers.fields()) {
    head.append(field.first).append(": ").append(field.second).append("\r\n");
  }
  return head;
}

}  // namespace

Transaction::Transaction(std::weak_ptr<RequestConnection> connection,
                         InboundRequest request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

void Transaction::Respond(const Answer& answer) {
  StartStream(answer.status, answer.headers, answer.body.size());
  Write(answer.body);
  Finish();
}

void Transaction::StartStream(int status,
                              const Headers& headers,
                              std::optional<uint64_t> content_length) {
  const auto connection = connection_.lock();
  if (connection == nullptr || is_started_) {
    return;
  }
  if (!content_length && request_.is_http_1_0) {
    StartUnframed(status, headers);
    resets_when_aborted_ = true;
    return;
  }
  is_started_ = true;
  is_chunked_ = !content_length;
  remaining_bytes_ = content_length.value_or(0);
  std::string head = SerialiseHead(status, headers);
  if (connection->DecideClosing()) {
    head.append("Connection: close\r\n");
  }
  if (is_chunked_) {
    head.append("Transfer-Encoding: chunked\r\n\r\n");
  } else {
    head.append(fmt::format("Content-Length: {}\r\n\r\n", remaining_bytes_));
  }
  connection->Send(head);
}

void Transaction::StartUnframed(int status, const Headers& headers) {
  const auto connection = connection_.lock();
  if (connection == nullptr || is_started_) {
    return;
  }
  is_started_ = true;
  is_unframed_ = true;
  connection->Send(SerialiseHead(status, headers) +
                   "Connection: close\r\n\r\n");
}

void Transaction::Write(std::string_view bytes) {
  const auto connection = connection_.lock();
  if (connection == nullptr || is_finished_ || bytes.empty()) {
    return;
  }
  if (request_.method == "HEAD") {
    return;
  }
  if (!is_chunked_) {
    remaining_bytes_ -= std::min<uint64_t>(remaining_bytes_, bytes.size());
    connection->Send(bytes);
    return;
  }
  std::string chunk = fmt::format("{:x}\r\n", bytes.size());
  chunk.append(bytes).append("\r\n");
  connection->Send(chunk);
}

void Transaction::Finish() {
  const auto connection = connection_.lock();
  if (connection == nullptr || is_finished_) {
    return;
  }
  if (is_unframed_) {
    is_finished_ = true;
    connection->AbortResponse();
    return;
  }
  const bool is_head = request_.method == "HEAD";
  if (!is_chunked_ && remaining_bytes_ > 0 && !is_head) {
    Abort();
    return;
  }
  is_finished_ = true;
  if (is_chunked_ && !is_head) {
    connection->Send("0\r\n\r\n");
  }
  connection->OnAnswered();
}

std::shared_ptr<TcpStream> Transaction::TakeOver() {
  const auto connection = connection_.lock();
  if (connection == nullptr || is_started_ || is_finished_) {
    return nullptr;
  }
  is_started_ = true;
  is_finished_ = true;
  return connection->Release();
}

void Transaction::Abort() {
  const auto connection = connection_.lock();
  if (connection == nullptr || is_finished_) {
    return;
  }
  is_finished_ = true;
  if (resets_when_aborted_) {
    connection->ResetResponse();
  } else {
    connection->AbortResponse();
  }
}

bool Transaction::is_open() const {
  const auto connection = connection_.lock();
  return connection != nullptr && !is_finished_ && connection->is_open();
}

size_t Transaction::unsent_bytes() const {
  const auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->unsent_bytes();
}

void Transaction::OnCallerGone(std::function<void()> callback) {
  on_client_disconnected_ = std::move(callback);
}

void Transaction::OnDrained(std::function<void()> callback) {
  on_drained_ = std::move(callback);
}

}  // namespace wasabi::http
