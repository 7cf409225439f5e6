#include "LibHttp/tunnel.h"

#include <array>
#include <charconv>

#include "LibCore/text.h"

namespace wasabi::http {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// A reply is shorter; more bytes without an end are none.
constexpr size_t kMaxReplyBytes = 256;
// Field of a request for a tunnel whose sender knows frames.
constexpr std::string_view kFramesField = "Tunnel-Frames";
constexpr std::string_view kFramesValue = "1";
constexpr std::string_view kRequestField = "Tunnel-Request";

struct ReplyLine {
  TunnelReply reply;
  std::string_view line;
};

constexpr std::array<ReplyLine, 5> kReplyLines = {{
    {TunnelReply::kOpen, "HTTP/1.1 200 Open"},
    {TunnelReply::kOpenFramed, "HTTP/1.1 200 Open-Frames"},
    {TunnelReply::kEndpointUnreachable, "HTTP/1.1 502 Unreachable"},
    {TunnelReply::kEndpointUnavailable, "HTTP/1.1 404 Unavailable"},
    {TunnelReply::kCarrierUnavailable, "HTTP/1.1 503 Unavailable"},
}};

}  // namespace

std::string EncodeTunnelRequest(uint64_t endpoint_hash,
                                std::string_view request_id) {
  std::string text =
      fmt::format("{} {:016x} HTTP/1.1\r\nHost: endpoint\r\n{}: {}\r\n",
                  kTunnelMethod, endpoint_hash, kFramesField, kFramesValue);
  if (!request_id.empty()) {
    text.append(fmt::format("{}: {}\r\n", kRequestField, request_id));
  }
  return text.append("\r\n");
}

std::string RequestIdOfTunnel(const Headers& headers) {
  return headers.Get(kRequestField);
}

bool AcceptsTunnelFrames(const Headers& headers) {
  return headers.Get(kFramesField) == kFramesValue;
}

std::optional<uint64_t> EndpointHashOfTunnel(std::string_view target) {
  constexpr int kHexadecimal = 16;
  uint64_t hash = 0;
  const char* const end = target.data() + target.size();
  const auto [parsed, ec] =
      std::from_chars(target.data(), end, hash, kHexadecimal);
  const bool is_whole = ec == std::errc() && parsed == end;
  return is_whole ? std::optional(hash) : std::nullopt;
}

std::string EncodeTunnelReply(TunnelReply reply) {
  const std::string_view line = kReplyLines.at(static_cast<size_t>(reply)).line;
  return std::string(line).append(kHeadEnd);
}

std::optional<TunnelReply> TakeTunnelReply(std::string* input) {
  const size_t end = input->find(kHeadEnd);
  if (end == std::string::npos) {
    return input->size() > kMaxReplyBytes
               ? std::optional(TunnelReply::kCarrierUnavailable)
               : std::nullopt;
  }
  const std::string line = input->substr(0, end);
  input->erase(0, end + kHeadEnd.size());
  for (const ReplyLine& it : kReplyLines) {
    if (it.line == line) {
      return it.reply;
    }
  }
  return TunnelReply::kCarrierUnavailable;
}

}  // namespace wasabi::http
