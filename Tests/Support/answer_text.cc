#include "Tests/Support/answer_text.h"

#include "LibCore/hash.h"
#include "LibCore/text.h"

namespace wasabi::support {

namespace {

// Range of the answer length in tokens if the request has no max_tokens.
constexpr uint32_t kShortestAnswerTokens = 24;
constexpr uint32_t kLongestAnswerTokens = 96;

std::string StringOrEmpty(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

}  // namespace

std::string RequestDigest(const nlohmann::json& body) {
  nlohmann::json content = nlohmann::json::object();
  content["messages"] = body.value("messages", nlohmann::json::array());
  content["model"] = body.value("model", nlohmann::json());
  return core::ContentDigest(content.dump());
}

std::vector<ChatMessage> MessagesOf(const nlohmann::json& body) {
  std::vector<ChatMessage> messages;
  const auto list = body.find("messages");
  if (list == body.end() || !list->is_array()) {
    return messages;
  }
  for (const nlohmann::json& item : *list) {
    if (item.is_object()) {
      messages.push_back(
          {StringOrEmpty(item, "role"), StringOrEmpty(item, "content")});
    }
  }
  return messages;
}

uint32_t TokensOf(const ChatMessage& message) {
  const size_t n =
      (message.content.size() + kBytesPerToken - 1) / kBytesPerToken;
  return static_cast<uint32_t>(n) + kTokensPerMessage;
}

uint32_t TokensOf(const std::vector<ChatMessage>& messages) {
  uint32_t total = 0;
  for (const ChatMessage& message : messages) {
    total += TokensOf(message);
  }
  return total;
}

uint32_t AnswerLength(std::string_view digest, uint32_t max_tokens) {
  if (max_tokens > 0) {
    return max_tokens;
  }
  constexpr uint32_t kSpread = kLongestAnswerTokens - kShortestAnswerTokens + 1;
  return kShortestAnswerTokens +
         static_cast<uint32_t>(core::StableHash(digest) % kSpread);
}

std::string AnswerToken(std::string_view digest, uint32_t index) {
  constexpr uint64_t kTokenVariants = 0x1000;
  return fmt::format("{:03x} ",
                     core::StableHash(digest, index) % kTokenVariants);
}

std::string AnswerText(std::string_view digest, uint32_t length) {
  std::string text;
  text.reserve(size_t{length} * kBytesPerToken);
  for (uint32_t i = 0; i < length; ++i) {
    text += AnswerToken(digest, i);
  }
  return text;
}

}  // namespace wasabi::support
