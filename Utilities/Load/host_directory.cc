#include "Utilities/Load/host_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::load {

namespace {

constexpr core::Duration kQueryTimeout = std::chrono::seconds(2);
// Number of cached responses at which expired responses are evicted.
constexpr size_t kMaxCachedAnswers = 20'000;

HostDirectory::Addresses ParseAddresses(const nlohmann::json& hosts) {
  HostDirectory::Addresses addresses;
  for (const nlohmann::json& host : hosts) {
    if (!host.is_string()) {
      continue;
    }
    const auto address = core::SocketAddress::Parse(host.get<std::string>());
    if (address.ok()) {
      addresses.push_back(*address);
    }
  }
  return addresses;
}

}  // namespace

HostDirectory::HostDirectory(core::EventLoop* loop,
                             http::Client* client,
                             Addresses seeds,
                             bool is_fixed,
                             uint64_t seed)
    : loop_(loop),
      client_(client),
      seeds_(std::move(seeds)),
      is_fixed_(is_fixed),
      random_(seed) {}

void HostDirectory::Find(const HostQuery& query, const Callback& callback) {
  if (is_fixed_) {
    callback(RotatedSeeds(query));
    return;
  }
  const auto kept = answers_.find(query);
  if (kept != answers_.end() && kept->second.expiry > loop_->Now()) {
    callback(Addresses(kept->second.addresses));
    return;
  }
  Ask(query, random_.Below(seeds_.size()), seeds_.size(), callback);
}

HostDirectory::Addresses HostDirectory::RotatedSeeds(
    const HostQuery& query) const {
  Addresses order = seeds_;
  const auto first =
      static_cast<std::ptrdiff_t>(core::StableHash(query.chat) % seeds_.size());
  std::rotate(order.begin(), order.begin() + first, order.end());
  return order;
}

void HostDirectory::Ask(const HostQuery& query,
                        size_t seed_index,
                        size_t seeds_left,
                        const Callback& callback) {
  if (seeds_left == 0) {
    callback({});
    return;
  }
  ++query_count_;
  http::ClientRequest request;
  request.address = seeds_[seed_index % seeds_.size()];
  request.target =
      query.model.empty()
          ? "/v1/hosts"
          : fmt::format("/v1/hosts?chat={}&model={}", query.chat, query.model);
  request.headers.Add(std::string(http::kOrganisationHeader),
                      query.organisation);
  request.total_timeout = kQueryTimeout;
  client_->Fetch(
      request, [=, this](const absl::StatusOr<http::ClientResponse>& it) {
        const nlohmann::json body = it.ok() && it->status == support::kHttpOk
                                        ? support::ParseObject(it->body)
                                        : nlohmann::json();
        Answer answer;
        if (body.is_object()) {
          answer.addresses =
              ParseAddresses(body.value("hosts", nlohmann::json()));
          const auto lifetime = body.value("lifetime_ms", int64_t{0});
          answer.expiry = loop_->Now() + core::milliseconds(lifetime);
        }
        if (answer.addresses.empty()) {
          Ask(query, seed_index + 1, seeds_left - 1, callback);
          return;
        }
        Keep(query, answer);
        callback(answer.addresses);
      });
}

void HostDirectory::Keep(const HostQuery& query, const Answer& answer) {
  if (answers_.size() >= kMaxCachedAnswers) {
    const core::TimePoint now = loop_->Now();
    std::erase_if(answers_,
                  [&](const auto& row) { return row.second.expiry <= now; });
  }
  answers_[query] = answer;
}

}  // namespace wasabi::load
