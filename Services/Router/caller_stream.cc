#include "Services/Router/caller_stream.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/text.h"
#include "Services/Router/error_response.h"

namespace wasabi::router {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

// Joins the chunks of an answer into one "chat.completion" object, as in the
// OpenAI API. Chunks that are not JSON objects are skipped.
std::string JoinChunks(const std::string& request_id,
                       const std::vector<std::string>& chunks) {
  std::string content;
  json usage;
  std::string finish_reason = "stop";
  for (const std::string& text : chunks) {
    const json chunk = json::parse(text, nullptr, false);
    if (!chunk.is_object()) {
      continue;
    }
    if (chunk.contains("usage")) {
      usage = chunk["usage"];
    }
    const json choice =
        chunk.value("choices", json::array({json::object()})).at(0);
    content += choice.value("delta", json::object()).value("content", "");
    const json reason = choice.value("finish_reason", json());
    if (reason.is_string()) {
      finish_reason = reason.get<std::string>();
    }
  }
  const json message = {{"role", "assistant"}, {"content", content}};
  const json answer = {{"id", request_id},
                       {"object", "chat.completion"},
                       {"choices",
                        {{{"index", 0},
                          {"message", message},
                          {"finish_reason", finish_reason}}}},
                       {"usage", usage}};
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

CallerStream::CallerStream(std::shared_ptr<http::Exchange> exchange,
                           bool is_streamed,
                           std::string request_id,
                           http::Headers extra_headers)
    : exchange_(std::move(exchange)),
      is_streamed_(is_streamed),
      request_id_(std::move(request_id)),
      extra_headers_(std::move(extra_headers)) {}

void CallerStream::OnAnswerChunk(uint32_t /*index*/, std::string_view payload) {
  if (!is_streamed_) {
    chunks_.emplace_back(payload);
    return;
  }
  StartOnce();
  exchange_->Write(fmt::format("data: {}\n\n", payload));
}

void CallerStream::OnAnswerDone(const absl::Status& status) {
  if (is_streamed_ && (status.ok() || exchange_->is_started())) {
    FinishStream(status);
    return;
  }
  if (!status.ok()) {
    RespondError(exchange_, status, request_id_);
    return;
  }
  RespondWithJson();
}

void CallerStream::StartOnce() {
  if (exchange_->is_started()) {
    return;
  }
  http::Headers headers = AnswerHeaders("text/event-stream");
  headers.Add("Cache-Control", "no-cache");
  exchange_->StartStream(kHttpOk, headers);
}

void CallerStream::FinishStream(const absl::Status& status) {
  StartOnce();
  if (status.ok()) {
    exchange_->Write("data: [DONE]\n\n");
    exchange_->Finish();
    return;
  }
  exchange_->Write(fmt::format("data: {}\n\n", ErrorBody(status)));
  exchange_->Abort();
}

void CallerStream::RespondWithJson() {
  exchange_->Respond(kHttpOk, AnswerHeaders("application/json"),
                     JoinChunks(request_id_, chunks_));
}

http::Headers CallerStream::AnswerHeaders(
    const std::string& content_type) const {
  http::Headers headers = extra_headers_;
  headers.Add("Content-Type", content_type);
  headers.Add(std::string(http::kRequestIdHeader), request_id_);
  return headers;
}

}  // namespace wasabi::router
