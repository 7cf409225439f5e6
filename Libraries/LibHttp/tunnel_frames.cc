#include "LibHttp/tunnel_frames.h"

#include <algorithm>
#include <utility>

namespace wasabi::http {

namespace {

// A frame begins with its length, the most significant byte first.
constexpr int kLengthBytes = 4;
constexpr int kByteBits = 8;

std::string EncodeLength(uint32_t length) {
  std::string text;
  for (int i = kLengthBytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>(length >> (i * kByteBits)));
  }
  return text;
}

}  // namespace

std::string EncodeTunnelFrame(std::string_view bytes) {
  return EncodeLength(static_cast<uint32_t>(bytes.size())).append(bytes);
}

std::string EncodeTunnelEnd() {
  return EncodeLength(0);
}

void TunnelFrameDecoder::Feed(std::string_view received, std::string* output) {
  while (!received.empty() && !has_ended_) {
    if (frame_left_ == 0) {
      TakeLengthByte(received.front());
      received.remove_prefix(1);
      continue;
    }
    const size_t n = std::min<size_t>(frame_left_, received.size());
    output->append(received.substr(0, n));
    received.remove_prefix(n);
    frame_left_ -= static_cast<uint32_t>(n);
  }
}

void TunnelFrameDecoder::TakeLengthByte(char byte) {
  length_ = length_ << kByteBits | static_cast<uint8_t>(byte);
  if (++length_bytes_ < kLengthBytes) {
    return;
  }
  length_bytes_ = 0;
  frame_left_ = std::exchange(length_, 0);
  has_ended_ = frame_left_ == 0;
}

}  // namespace wasabi::http
