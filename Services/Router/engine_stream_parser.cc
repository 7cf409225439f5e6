#include "Services/Router/engine_stream_parser.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::router {

namespace {

using core::MakeStatus;
using core::ResultCode;
using nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";
constexpr size_t kMaxBytesWithoutChunk = 1U << 20U;

bool IsFinishChunk(const json& chunk) {
  const auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return false;
  }
  const auto reason = choices->front().find("finish_reason");
  return reason != choices->front().end() && reason->is_string();
}

}  // namespace

EngineStreamParser::EngineStreamParser(std::string request_id,
                                       uint32_t first_index,
                                       bool is_bound,
                                       ChunkCallback on_chunk)
    : request_id_(std::move(request_id)),
      next_index_(first_index),
      is_bound_(is_bound),
      on_chunk_(std::move(on_chunk)) {}

absl::Status EngineStreamParser::Feed(std::string_view bytes) {
  buffer_ += bytes;
  bytes_without_chunk_ += bytes.size();
  size_t start = 0;
  for (size_t end = buffer_.find(kEventEnd); end != std::string::npos;
       end = buffer_.find(kEventEnd, start)) {
    const std::string_view event(buffer_.data() + start, end - start);
    start = end + kEventEnd.size();
    if (!event.starts_with(kDataPrefix)) {
      continue;
    }
    TRY(OnEvent(event.substr(kDataPrefix.size())));
  }
  buffer_.erase(0, start);
  if (bytes_without_chunk_ > kMaxBytesWithoutChunk) {
    return MakeStatus(ResultCode::kAnswerTruncated,
                      "the engine sent more than 1048576 bytes without a chunk "
                      "of the answer");
  }
  return absl::OkStatus();
}

absl::Status EngineStreamParser::OnEvent(std::string_view data) {
  if (has_end_marker_) {
    return MakeStatus(ResultCode::kMismatchedAnswer,
                      "the engine sent data after the end marker");
  }
  if (data == kEndMarker) {
    has_end_marker_ = true;
    return absl::OkStatus();
  }
  return OnChunk(data);
}

absl::Status EngineStreamParser::OnChunk(std::string_view data) {
  const json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object() || chunk.contains("error")) {
    return MakeStatus(
        ResultCode::kAnswerTruncated,
        "the engine sent an error event or a chunk that is not a JSON object");
  }
  if (!is_bound_) {
    bytes_without_chunk_ = 0;
    on_chunk_(next_index_++, data);
    return absl::OkStatus();
  }
  const auto id = chunk.find("id");
  const auto index = chunk.find("index");
  if (id == chunk.end() || !id->is_string() ||
      id->get_ref<const std::string&>() != request_id_ ||
      index == chunk.end() || !index->is_number_unsigned()) {
    return MakeStatus(ResultCode::kMismatchedAnswer,
                      "a chunk has another request id or an invalid index");
  }
  const auto number = index->get<uint32_t>();
  if (number < next_index_) {
    return absl::OkStatus();
  }
  if (number > next_index_) {
    return MakeStatus(ResultCode::kAnswerTruncated,
                      "chunks are missing in the answer");
  }
  ++next_index_;
  bytes_without_chunk_ = 0;
  has_finish_chunk_ = has_finish_chunk_ || IsFinishChunk(chunk);
  on_chunk_(number, data);
  return absl::OkStatus();
}

}  // namespace wasabi::router
