#include "LibForwarding/load_report.h"

#include <algorithm>

#include "LibCore/result_code.h"

namespace wasabi::forwarding {

namespace {

constexpr size_t kSequenceBytes = 6;
constexpr size_t kHostsBytes = 2;
constexpr size_t kPartBytes = 1;
constexpr size_t kHeadBytes = kSequenceBytes + kHostsBytes + 2 * kPartBytes;
constexpr size_t kKeyBytes = kEndpointKeyBits / 8;
constexpr size_t kEntryBytes = kKeyBytes + 1;
constexpr uint32_t kMaxCount = 255;

void AppendNumber(uint64_t value, size_t n, std::string* bytes) {
  for (size_t i = 0; i < n; ++i) {
    bytes->push_back(static_cast<char>(value >> (8 * i)));
  }
}

uint64_t ReadNumber(std::string_view bytes) {
  uint64_t value = 0;
  for (size_t i = bytes.size(); i > 0; --i) {
    value = (value << 8U) | static_cast<unsigned char>(bytes[i - 1]);
  }
  return value;
}

}  // namespace

size_t LoadReportBytes(size_t endpoints) {
  return kHeadBytes + kEntryBytes * endpoints;
}

std::vector<std::string> EncodeLoadReport(const LoadReport& report,
                                          size_t max_bytes) {
  const size_t entries_per_part = (max_bytes - kHeadBytes) / kEntryBytes;
  const size_t parts = std::max<size_t>(
      1, (report.requests.size() + entries_per_part - 1) / entries_per_part);
  std::vector<std::string> encoded;
  auto it = report.requests.begin();
  for (size_t part = 0; part < parts; ++part) {
    std::string& bytes = encoded.emplace_back();
    AppendNumber(report.sequence, kSequenceBytes, &bytes);
    AppendNumber(report.hosts, kHostsBytes, &bytes);
    AppendNumber(part, kPartBytes, &bytes);
    AppendNumber(parts, kPartBytes, &bytes);
    for (size_t i = 0; i < entries_per_part && it != report.requests.end();
         ++i, ++it) {
      AppendNumber(it->first, kKeyBytes, &bytes);
      AppendNumber(std::min(it->second, kMaxCount), 1, &bytes);
    }
  }
  return encoded;
}

absl::StatusOr<LoadReport> DecodeLoadReport(std::string_view bytes) {
  if (bytes.size() < kHeadBytes ||
      (bytes.size() - kHeadBytes) % kEntryBytes != 0) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        "the load report's length is not a whole number of entries");
  }
  const auto take = [&bytes](size_t n) {
    const uint64_t number = ReadNumber(bytes.substr(0, n));
    bytes.remove_prefix(n);
    return number;
  };
  LoadReport report;
  report.sequence = take(kSequenceBytes);
  report.hosts = static_cast<uint32_t>(take(kHostsBytes));
  report.part = static_cast<uint32_t>(take(kPartBytes));
  report.parts = static_cast<uint32_t>(take(kPartBytes));
  if (report.part >= report.parts) {
    return core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "the load report has fewer parts than stated");
  }
  while (!bytes.empty()) {
    const auto key = static_cast<uint32_t>(take(kKeyBytes));
    report.requests.Add(key, static_cast<uint32_t>(take(1)));
  }
  return report;
}

}  // namespace wasabi::forwarding
