#include "Services/Router/parse_chat_filter.h"

#include <nlohmann/json.hpp>

#include "LibCore/hash.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::router {

namespace {

using core::MakeStatus;
using core::ResultCode;
using nlohmann::json;

// Estimates for work sizes: bytes of text per token, extra tokens per message,
// and output tokens of a request without "max_tokens".
constexpr size_t kBytesPerToken = 4;
constexpr uint32_t kTokensPerMessageFrame = 4;
constexpr uint32_t kDefaultOutputTokens = 256;
constexpr uint32_t kMaxOutputTokens = 1U << 20U;
constexpr size_t kMaxChatKeyBytes = 256;
// Bodies nested more deeply are rejected, because serialising JSON recurses to
// its depth.
constexpr int kMaxJsonDepth = 100;

// Parses `text`. Returns a discarded value if it is invalid or nested too
// deeply.
json ParseBounded(const std::string& text) {
  bool is_too_deep = false;
  const auto check_depth = [&is_too_deep](int depth,
                                          json::parse_event_t /*event*/,
                                          json& /*parsed*/) {
    is_too_deep |= depth > kMaxJsonDepth;
    return !is_too_deep;
  };
  json body = json::parse(text, check_depth, false);
  return is_too_deep ? json(json::value_t::discarded) : body;
}

bool IsMessageList(const json& messages) {
  if (!messages.is_array() || messages.empty()) {
    return false;
  }
  for (const json& message : messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content") ||
        !message["content"].is_string()) {
      return false;
    }
  }
  return true;
}

// Estimates the size in tokens. The prompt up to the last assistant message
// counts as reusable, because an earlier turn has left it in a runner's cache.
routing::WorkSize EstimateSize(const json& messages, uint32_t output_tokens) {
  routing::WorkSize size;
  size.output_tokens = output_tokens;
  for (const json& message : messages) {
    const size_t bytes =
        message["content"].get_ref<const std::string&>().size();
    size.prompt_tokens +=
        static_cast<uint32_t>(bytes / kBytesPerToken) + kTokensPerMessageFrame;
    if (message["role"] == "assistant") {
      size.reusable_tokens = size.prompt_tokens;
    }
  }
  return size;
}

std::string TextOf(const json& body, const char* key) {
  const auto it = body.find(key);
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

absl::Status ParseChatFilter::Apply(RequestContext* context) {
  json body = ParseBounded(context->http->body);
  if (!body.is_object()) {
    return MakeStatus(
        ResultCode::kMalformedRequest,
        "the body is not a JSON object or is nested more than 100 levels deep");
  }
  context->model = TextOf(body, "model");
  if (context->model.empty()) {
    return MakeStatus(ResultCode::kMalformedRequest,
                      "model is missing, empty or not a string");
  }
  if (!body.contains("messages") || !IsMessageList(body["messages"])) {
    return MakeStatus(ResultCode::kMalformedRequest,
                      "messages is not a non-empty array of {role, content} "
                      "objects with string values");
  }
  const auto max_tokens = body.find("max_tokens");
  uint32_t output_tokens = kDefaultOutputTokens;
  if (max_tokens != body.end()) {
    if (!max_tokens->is_number_unsigned() ||
        max_tokens->get<uint64_t>() > kMaxOutputTokens ||
        max_tokens->get<uint64_t>() == 0) {
      return MakeStatus(ResultCode::kMalformedRequest,
                        "max_tokens is not an integer between 1 and 1048576");
    }
    output_tokens = max_tokens->get<uint32_t>();
  }
  std::string chat = context->http->headers.Get(http::kChatKeyHeader);
  if (chat.empty()) {
    chat = TextOf(body, "prompt_cache_key");
  }
  if (chat.size() > kMaxChatKeyBytes) {
    return MakeStatus(ResultCode::kMalformedRequest,
                      "the chat key is longer than 256 bytes");
  }
  if (!chat.empty()) {
    // The prefix keeps chats of different organisations from sharing a key.
    context->chat = core::ChatKey(context->organisation.value() + "/" + chat);
  }
  const auto stream = body.find("stream");
  context->is_streamed =
      stream != body.end() && stream->is_boolean() && stream->get<bool>();
  context->size = EstimateSize(body["messages"], output_tokens);
  const json content = {{"messages", body["messages"]},
                        {"model", context->model}};
  context->content_digest = core::StableHash(
      content.dump(-1, ' ', false, json::error_handler_t::replace));
  body["stream"] = true;
  body.erase("resume_from");
  context->engine_body =
      body.dump(-1, ' ', false, json::error_handler_t::replace);
  return absl::OkStatus();
}

}  // namespace wasabi::router
