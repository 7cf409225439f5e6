#include "Tests/Support/PlatformEndpoint/endpoint_run.h"

#include <vector>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "platform/wire_names.h"

namespace wasabi::support {

namespace {

constexpr uint64_t kMinEvents = 2;
constexpr uint64_t kEventCountRange = 40;
constexpr uint64_t kMaxLines = 40;

}  // namespace

std::string PlainAnswerOf(const core::RequestId& request) {
  std::string body;
  for (uint64_t i = 0; i <= request.Hash() % kMaxLines; ++i) {
    body += fmt::format("{} {:x}\n", request.value(),
                        core::CombineHashes(request.Hash(), i));
  }
  return body;
}

uint64_t EventCountOf(const core::RequestId& request) {
  return kMinEvents + request.Hash() % kEventCountRange;
}

std::string EventOf(const core::RequestId& request,
                    uint64_t id,
                    const std::string& software_version) {
  return fmt::format("id: {}\ndata: {} {:x} {}\n\n", id, request.value(),
                     core::CombineHashes(request.Hash(), id), software_version);
}

std::string HarmfulPartIn(const http::Headers& headers) {
  const std::vector<std::string> parts =
      core::SplitList(headers.Get(adapter::kPromptPartsHeader));
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    if (parts[i].starts_with(kHarmfulPartPrefix)) {
      return parts[i].substr(0, parts[i].find(':'));
    }
  }
  return {};
}

}  // namespace wasabi::support
