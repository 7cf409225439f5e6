#include "LibHttp/exchange.h"

#include <microhttpd.h>

namespace wasabi::http {

Exchange::Exchange(Request request) : request_(std::move(request)) {}
Exchange::~Exchange() = default;

void Exchange::Respond(int status, const Headers& headers, std::string body) {
  if (started_) {
    return;
  }
  started_ = true;
  finished_ = true;
  status_ = status;
  response_headers_ = headers;
  buffer_ = std::move(body);
  ResumeConnection();
}

void Exchange::StartStream(int status, const Headers& headers) {
  if (started_) {
    return;
  }
  started_ = true;
  is_stream_ = true;
  status_ = status;
  response_headers_ = headers;
  ResumeConnection();
}

void Exchange::Write(std::string_view chunk) {
  if (finished_ || aborted_ || !is_open()) {
    return;
  }
  buffer_ += chunk;
  ResumeConnection();
}

void Exchange::Finish() {
  finished_ = true;
  ResumeConnection();
}

void Exchange::Abort() {
  aborted_ = true;
  ResumeConnection();
}

void Exchange::OnClosed(std::function<void()> callback) {
  on_closed_ = std::move(callback);
}

void Exchange::ResumeConnection() {
  if (connection_ == nullptr || !suspended_) {
    return;
  }
  suspended_ = false;
  MHD_resume_connection(connection_);
  schedule_run_();
}

}  // namespace wasabi::http
