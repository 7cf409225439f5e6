#include "LibForwarding/origin_records.h"

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

constexpr size_t kStreamBytes = 8;
constexpr unsigned kBitsPerByte = 8;

}  // namespace

void StreamBatch::Add(StreamKey stream, StreamOrigin origin) {
  std::string& bytes = by_origin_[origin.hash];
  for (size_t i = kStreamBytes; i > 0; --i) {
    bytes.push_back(static_cast<char>(stream.hash >> (kBitsPerByte * (i - 1))));
  }
  ++size_;
}

void StreamBatch::Add(const std::vector<OriginStreams>& streams) {
  for (const OriginStreams& it : streams) {
    for (const StreamKey stream : DecodeStreams(it.streams)) {
      Add(stream, {it.origin});
    }
  }
}

std::vector<OriginStreams> StreamBatch::Streams() const {
  std::vector<OriginStreams> streams;
  streams.reserve(by_origin_.size());
  for (const auto& [origin, bytes] : by_origin_) {
    streams.push_back({.origin = origin, .streams = bytes});
  }
  return streams;
}

std::vector<StreamKey> DecodeStreams(std::string_view bytes) {
  std::vector<StreamKey> streams;
  streams.reserve(bytes.size() / kStreamBytes);
  for (; bytes.size() >= kStreamBytes; bytes.remove_prefix(kStreamBytes)) {
    uint64_t hash = 0;
    for (const char it : bytes.substr(0, kStreamBytes)) {
      hash = (hash << kBitsPerByte) | static_cast<unsigned char>(it);
    }
    streams.push_back({hash});
  }
  return streams;
}

std::string SlotKey(const core::HostId& host, uint32_t slot) {
  return fmt::format("streams/{}/{}", host.value(), slot);
}

}  // namespace wasabi::forwarding
