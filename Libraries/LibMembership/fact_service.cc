#include "LibMembership/fact_service.h"

#include "LibMembership/application_kind.h"

namespace wasabi::membership {

namespace {

constexpr auto kKind = static_cast<uint8_t>(ApplicationKind::kFacts);

FactOptions WithSelf(FactOptions options, const core::HostId& self) {
  options.self = self;
  return options;
}

}  // namespace

FactService::FactService(core::EventLoop* loop,
                         GossipNode* node,
                         FactOptions options,
                         uint64_t random_seed)
    : loop_(loop),
      node_(node),
      facts_(WithSelf(std::move(options), node->self().id),
             random_seed,
             [node](const core::HostId& to, std::string_view body) {
               // Fails if the member was removed in the meantime. It no
               // longer needs facts then.
               node->SendApplication(to, kKind, body).IgnoreError();
             }),
      ticker_(loop->NewTimer(
          [this, node] { facts_.Tick(*node->table(), loop_->Now()); })) {
  node->SetApplicationHandler(kKind,
                              [this](const Member&, std::string_view body) {
                                return facts_.OnDatagram(body, loop_->Now());
                              });
  ticker_->StartRepeating(kGossipTick);
}

FactService::~FactService() {
  node_->SetApplicationHandler(kKind, nullptr);
}

absl::Status FactService::Set(const std::string& key,
                              const std::string& value,
                              core::Duration lifetime) {
  return facts_.Set(key, value, lifetime, loop_->Now());
}

std::optional<std::string> FactService::Get(const std::string& key) const {
  return facts_.Get(key, loop_->Now());
}

std::vector<std::pair<std::string, std::string>> FactService::WithPrefix(
    std::string_view prefix) const {
  return facts_.WithPrefix(prefix, loop_->Now());
}

void FactService::SetObserver(FactGossip::Observer observer) {
  facts_.SetObserver(std::move(observer));
}

}  // namespace wasabi::membership
