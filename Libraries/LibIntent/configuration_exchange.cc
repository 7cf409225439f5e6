#include "LibIntent/configuration_exchange.h"

#include <utility>

namespace wasabi::intent {

void AnswerFetchConfiguration(const ConfigurationFollower& follower,
                              link::InboundCall* call) {
  const absl::StatusOr<FetchConfigurationRequest> request =
      core::Decode<FetchConfigurationRequest>(call->request());
  if (!request.ok()) {
    call->Finish(request.status());
    return;
  }
  call->Send(core::Encode(follower.Offer(request->known_revision)));
  call->Finish(absl::OkStatus());
}

std::optional<membership::Member> CatchUpPolicy::Choose(
    core::TimePoint now,
    const core::HostId& self,
    int64_t own_offset,
    const membership::MemberTable& members) {
  const membership::Member* best = nullptr;
  for (const membership::Member& member : members.members()) {
    const bool is_ahead = member.id != self &&
                          member.applied_offset > own_offset &&
                          !member.link_address.empty();
    if (is_ahead &&
        (best == nullptr || member.applied_offset > best->applied_offset)) {
      best = &member;
    }
  }
  const bool has_grown = own_offset != last_own_offset_;
  last_own_offset_ = own_offset;
  if (best == nullptr) {
    behind_since_.reset();
    return std::nullopt;
  }
  if (has_grown || !behind_since_) {
    behind_since_ = now;
  }
  if (now - *behind_since_ < patience_) {
    return std::nullopt;
  }
  return *best;
}

ConfigurationCatchUp::ConfigurationCatchUp(
    core::EventLoop* loop,
    link::Link* link,
    std::shared_ptr<ConfigurationFollower> follower,
    core::HostId self,
    MembersSource members,
    CatchUpOptions options)
    : loop_(loop),
      link_(link),
      follower_(std::move(follower)),
      self_(std::move(self)),
      members_(std::move(members)),
      policy_(options.patience),
      timer_(loop->NewTimer([this] { Tick(); })) {
  timer_->StartRepeating(options.period);
}

ConfigurationCatchUp::~ConfigurationCatchUp() {
  if (call_ != nullptr) {
    call_->Cancel();
  }
}

void ConfigurationCatchUp::Tick() {
  if (call_ != nullptr) {
    return;
  }
  const std::optional<membership::Member> peer = policy_.Choose(
      loop_->Now(), self_, follower_->applied_offset(), *members_());
  if (peer) {
    Ask(*peer);
  }
}

void ConfigurationCatchUp::Ask(const membership::Member& peer) {
  const std::string request =
      core::Encode(FetchConfigurationRequest{follower_->applied_offset()});
  link::CallHandlers handlers;
  handlers.on_message = [this](std::string_view message) {
    const absl::StatusOr<FetchConfigurationResponse> response =
        core::Decode<FetchConfigurationResponse>(message);
    if (response.ok()) {
      // A malformed state is ignored; a later tick fetches again.
      follower_->Load(*response).IgnoreError();
    }
  };
  handlers.on_done = [this](const absl::Status& /*status*/) {
    call_ = nullptr;
  };
  call_ = link_->Call(peer.link_address, link::CallKind::kFetchConfiguration,
                      request, std::move(handlers));
}

}  // namespace wasabi::intent
