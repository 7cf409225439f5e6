#include "Tests/Soak/endpoint_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Soak/operator.h"
#include "Tests/Support/free_address.h"
#include "platform/adapters.h"
#include "platform/configuration_codec.h"
#include "platform/wire_names.h"

namespace wasabi::soak {

namespace {

constexpr core::Duration kHeartbeatPeriod = core::milliseconds(1200);
// A registration expires after this time without a heartbeat.
constexpr core::Duration kRegistrationLifetime = kHeartbeatPeriod * 3;
// A leaving endpoint keeps serving for this long after the bound within which
// hosts must stop sending requests to it.
constexpr core::Duration kExtraServingTime = core::milliseconds(1500);
// A leaving endpoint is gone this long after its last answer, so that its relay
// has passed on all of it.
constexpr core::Duration kLastBytesTime = core::milliseconds(250);
// Loopback IP numbers: the first of each range, and the size of a range.
constexpr uint32_t kFirstEndpointIp = 80;
constexpr uint32_t kFirstProxyIp = 130;
constexpr uint32_t kIpsPerRange = 50;
constexpr size_t kDataCentres = 2;
// Time after which an endpoint that a request crashed is back.
constexpr core::Duration kRestartTime = core::seconds(2);
constexpr core::Duration kShortRestartTime = core::milliseconds(500);
// Several software versions serve side by side from the start.
constexpr size_t kEndpointsPerVersion = 2;
constexpr size_t kVersions = 3;
// Streams of the long pool have a pause of this length after each event.
constexpr core::Duration kLongEventDelay = core::milliseconds(230);
constexpr size_t kLongSlots = 64;
// Time for which the registration of an endpoint stands after its end, unless
// it lapses. Bits of the target select one of the two, and whether all
// endpoints of the pool end.
constexpr core::Duration kStaleTime = core::seconds(2);
constexpr unsigned kLapseBit = 32;
constexpr unsigned kWholePoolBit = 33;
// Shares of the requests that the successor refuses, and of the refusals that
// it writes twice.
constexpr double kRefusalShare = 0.1;
constexpr double kRepeatedRefusalShare = 0.8;
// A request that announces a body of so many bytes is answered early.
constexpr size_t kMinEarlyBytes = 1'000'000;

// Returns the part of an unframed answer to a request that begins with `bytes`,
// or "" if its body is small.
std::string EarlyAnswerTo(std::string_view bytes) {
  const auto field = [bytes](std::string_view name) {
    const size_t at = bytes.find(fmt::format("\r\n{}: ", name));
    if (at == std::string_view::npos) {
      return std::string();
    }
    const size_t start = at + name.size() + 4;
    return std::string(bytes.substr(start, bytes.find('\r', start) - start));
  };
  const size_t length =
      core::ParseNumber<size_t>(field("Content-Length")).value_or(0);
  if (length < kMinEarlyBytes) {
    return "";
  }
  return fmt::format("HTTP/1.1 200 X\r\n{0}: {1}\r\n{2}: early\r\n\r\npart",
                     adapter::kRequestIdHeader,
                     field(adapter::kRequestIdHeader),
                     adapter::kSignatureHeader);
}

core::PoolId OtherPool(const core::PoolId& pool) {
  return core::PoolId(pool == core::PoolId(kPlainPool) ? kOtherPlainPool
                                                       : kPlainPool);
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

core::DataCentreId DataCentreOf(uint64_t number) {
  return core::DataCentreId(fmt::format("z{}", number % kDataCentres));
}

core::DataCentreId DataCentreOf(const core::RunnerId& endpoint) {
  return DataCentreOf(endpoint.Hash());
}

EndpointFleet::EndpointFleet(core::EventLoop* loop,
                             const SoakOptions& options,
                             support::WatchedLog* log,
                             History* history)
    : loop_(loop), options_(options), log_(log), history_(history) {}

absl::Status EndpointFleet::Add(const core::PoolId& pool) {
  const auto n = static_cast<uint32_t>(members_.size());
  return AddAt(pool,
               support::FreeAddress(
                   support::LoopbackIp(kFirstEndpointIp + n % kIpsPerRange)),
               support::FreeAddress(
                   support::LoopbackIp(kFirstProxyIp + n % kIpsPerRange)))
      .status();
}

absl::StatusOr<EndpointFleet::Member*> EndpointFleet::AddAt(
    const core::PoolId& pool,
    const core::SocketAddress& address,
    const core::SocketAddress& registered_address) {
  const size_t n = members_.size();
  auto member = std::make_unique<Member>();
  member->options.id =
      core::RunnerId(fmt::format("{}-{}", pool.value(), members_.size()));
  member->options.pool = pool;
  member->options.address = address;
  member->options.seed = options_.seed * 1000 + n;
  member->options.software_version =
      fmt::format("v{}", 1 + n / kEndpointsPerVersion % kVersions);
  if (pool == core::PoolId(kLongPool)) {
    member->options.slots = kLongSlots;
    member->usual.delay = kLongEventDelay;
  }
  member->registered_address = registered_address;
  member->link_faults =
      std::make_unique<support::LinkFaults>(options_.seed + n);
  TRY(Start(member.get()));
  members_.push_back(std::move(member));
  return members_.back().get();
}

absl::Status EndpointFleet::Start(Member* member) {
  TRY_ASSIGN(member->relay,
             support::TcpRelay::Create(loop_, member->registered_address,
                                       member->options.address,
                                       member->link_faults.get()));
  TRY_ASSIGN(member->endpoint,
             support::PlatformEndpoint::Create(
                 loop_, member->options,
                 [this](const support::PlatformEndpoint::RunPointer& run) {
                   Record(run);
                 }));
  // The endpoint must not be destroyed while it handles a request.
  member->endpoint->SetCrashObserver([this, member]() {
    RecordFall(*member);
    loop_->Post([this, member]() {
      if (member->state == State::kServing) {
        CrashMember(member, kRestartTime);
      }
    });
  });
  member->endpoint->SetFaults(member->usual);
  member->state = State::kServing;
  member->started_at_ms = UnixMilliseconds();
  member->sequence = 0;
  if (loop_->Now() >= member->cut_until) {
    Register(member);
  }
  return absl::OkStatus();
}

void EndpointFleet::Record(const support::PlatformEndpoint::RunPointer& run) {
  for (const auto& it : members_) {
    if (it->options.id == run->endpoint) {
      run->pool = it->options.pool;
    }
  }
  history_->runs.push_back(run);
}

void EndpointFleet::Register(Member* member) {
  member->is_registered = true;
  member->next_heartbeat_at = loop_->Now() + kHeartbeatPeriod;
  log_->Append(
      adapter::kRegistrationTopic, member->options.id.value(),
      fmt::format(
          R"({{"service":"{}","address":"{}","zone":"{}","version":"{}",)"
          R"("slots":{},"state":"{}","cold_left_ms":0,"seq":{},"born":{}}})",
          member->options.pool.value(), member->registered_address.ToString(),
          DataCentreOf(member->options.id).value(),
          member->options.software_version, member->options.slots,
          member->is_draining ? "draining" : "ready", ++member->sequence,
          member->started_at_ms));
}

void EndpointFleet::Unregister(Member* member) {
  member->is_registered = false;
  log_->Append(adapter::kRegistrationTopic, member->options.id.value(),
               std::nullopt);
}

EndpointFleet::Member* EndpointFleet::Choose(uint64_t target) {
  std::vector<Member*> serving;
  for (const auto& it : members_) {
    if (it->state == State::kServing) {
      serving.push_back(it.get());
    }
  }
  return serving.empty() ? nullptr : serving[target % serving.size()];
}

void EndpointFleet::AddDisturbance(const Member& member,
                                   core::Duration duration,
                                   bool is_planned) {
  const core::TimePoint now = loop_->Now();
  history_->disturbances.push_back(std::make_shared<Disturbance>(
      Disturbance{.scope = Disturbance::Scope::kEndpoint,
                  .endpoint = member.options.id,
                  .is_planned = is_planned,
                  .from = now,
                  .to = now + duration}));
}

void EndpointFleet::Crash(uint64_t target, core::Duration duration) {
  Member* member = Choose(target);
  if (member != nullptr) {
    CrashMember(member, duration);
  }
}

void EndpointFleet::CrashMember(Member* member, core::Duration duration) {
  AddDisturbance(*member, duration);
  EndLimits(*member);
  member->faults_end_at = {};
  member->endpoint.reset();
  // Nothing listens at the address of a crashed endpoint.
  member->relay->ResetAll();
  member->relay.reset();
  member->state = State::kCrashed;
  member->crashed_at = loop_->Now();
  member->transition_at = loop_->Now() + duration;
}

void EndpointFleet::Replace(uint64_t target, Announcement announcement) {
  Member* member = Choose(target);
  if (member == nullptr || !Add(member->options.pool).ok()) {
    return;
  }
  const core::TimePoint now = loop_->Now();
  member->state = State::kLeaving;
  member->transition_at = now + options_.bounds.leaving + kExtraServingTime;
  if (announcement == Announcement::kAnswers) {
    member->endpoint->AnnounceDeparture();
    return;
  }
  if (announcement == Announcement::kRegistration) {
    member->is_draining = true;
    Register(member);
    member->endpoint->AnnounceDeparture();
  } else {
    Unregister(member);
  }
  history_->departures.push_back(
      {.endpoint = member->options.id, .acknowledged_at = now});
}

void EndpointFleet::Renew(uint64_t target, Successor successor) {
  Member* member = Choose(target);
  if (member == nullptr) {
    return;
  }
  const core::Duration stands =
      ((target >> kLapseBit) & 1U) == 0 ? kStaleTime : kRegistrationLifetime;
  const bool is_whole_pool = ((target >> kWholePoolBit) & 1U) == 0;
  std::vector<Member*> ending;
  for (const auto& it : members_) {
    if (it.get() == member || (is_whole_pool && it->state == State::kServing &&
                               it->options.pool == member->options.pool)) {
      ending.push_back(it.get());
    }
  }
  for (Member* it : ending) {
    RenewMember(it, stands, successor);
  }
}

void EndpointFleet::RenewMember(Member* member,
                                core::Duration stands,
                                Successor successor) {
  const core::PoolId& pool = member->options.pool;
  CrashMember(member, stands);
  member->state = State::kEnded;
  const bool is_same_pool = successor == Successor::kSamePool;
  if (!is_same_pool && !Add(pool).ok()) {
    return;
  }
  const auto next = AddAt(is_same_pool ? pool : OtherPool(pool),
                          member->options.address, member->registered_address);
  if (!next.ok()) {
    return;
  }
  SetMemberFaults(*next,
                  {.refusal_share = kRefusalShare,
                   .repeated_refusal_share = kRepeatedRefusalShare},
                  stands);
  history_->renewals.push_back(
      {.ended = member->options.id, .successor = (*next)->options.id});
}

void EndpointFleet::RecordEvacuation(const core::DataCentreId& data_centre,
                                     core::Duration duration) {
  for (const auto& it : members_) {
    if (DataCentreOf(it->options.id) == data_centre) {
      AddDisturbance(*it, duration, true);
    }
  }
}

void EndpointFleet::RegisterAgain() {
  for (const auto& it : members_) {
    if (it->is_registered) {
      Register(it.get());
    } else {
      Unregister(it.get());
    }
  }
}

void EndpointFleet::SetLimit(uint64_t target,
                             double per_second,
                             core::Duration duration) {
  const Member* member = Choose(target);
  if (member == nullptr) {
    return;
  }
  SetFaults(target, {.limit = per_second}, duration);
  const core::TimePoint now = loop_->Now();
  history_->limits.push_back({.endpoint = member->options.id,
                              .per_second = per_second,
                              .from = now,
                              .to = now + duration});
}

void EndpointFleet::CutFromStore(uint64_t target, core::Duration duration) {
  Member* member = Choose(target);
  if (member != nullptr) {
    AddDisturbance(*member, duration);
    member->cut_until = loop_->Now() + duration;
  }
}

void EndpointFleet::BearAgain(uint64_t target, core::Duration duration) {
  Member* member = Choose(target);
  if (member == nullptr) {
    return;
  }
  member->cut_until = loop_->Now() + duration;
  CrashMember(member, std::min(kShortRestartTime, duration));
  member->options.software_version = fmt::format("v{}", 1 + kVersions);
}

void EndpointFleet::AnswerEarly(uint64_t target, core::Duration duration) {
  Member* member = Choose(target);
  if (member == nullptr) {
    return;
  }
  AddDisturbance(*member, duration);
  member->relay->SetEarlyAnswer(EarlyAnswerTo);
  // Connections that are open now don't answer early.
  member->relay->ResetAll();
  timers_.push_back(loop_->NewTimer([member]() {
    if (member->relay != nullptr) {
      member->relay->SetEarlyAnswer(nullptr);
    }
  }));
  timers_.back()->StartOnce(duration);
}

void EndpointFleet::SetFaultsOfAll(const support::EndpointFaults& faults,
                                   core::Duration duration) {
  for (const auto& it : members_) {
    if (it->state == State::kServing) {
      SetMemberFaults(it.get(), faults, duration);
    }
  }
}

void EndpointFleet::SetUsual(const core::PoolId& pool,
                             const support::EndpointFaults& faults) {
  for (const auto& it : members_) {
    if (it->options.pool != pool) {
      continue;
    }
    it->usual = faults;
    if (it->state == State::kServing &&
        it->faults_end_at == core::TimePoint()) {
      it->endpoint->SetFaults(faults);
    }
  }
}

void EndpointFleet::BeginBrittlePeriod(const core::PoolId& pool,
                                       core::Duration duration) {
  const auto endpoints =
      std::count_if(members_.begin(), members_.end(), [&pool](const auto& it) {
        return it->options.pool == pool && it->state == State::kServing;
      });
  const core::TimePoint now = loop_->Now();
  history_->brittle_periods.push_back(
      {.pool = pool,
       .endpoints = static_cast<size_t>(endpoints),
       .from = now,
       .to = now + duration,
       .falls = {}});
}

void EndpointFleet::RecordFall(const Member& member) {
  const core::TimePoint now = loop_->Now();
  for (BrittlePeriod& it : history_->brittle_periods) {
    if (it.pool == member.options.pool && it.from <= now && now < it.to) {
      it.falls.push_back(now);
    }
  }
}

void EndpointFleet::EndLimits(const Member& member) {
  for (LimitPeriod& it : history_->limits) {
    if (it.endpoint == member.options.id) {
      it.to = std::min(it.to, loop_->Now());
    }
  }
}

void EndpointFleet::SetFaults(uint64_t target,
                              const support::EndpointFaults& faults,
                              core::Duration duration) {
  Member* member = Choose(target);
  if (member != nullptr) {
    SetMemberFaults(member, faults, duration);
  }
}

void EndpointFleet::SetMemberFaults(Member* member,
                                    const support::EndpointFaults& faults,
                                    core::Duration duration) {
  AddDisturbance(*member, duration);
  // The new faults replace those before.
  EndLimits(*member);
  support::EndpointFaults all = faults;
  all.delay += member->usual.delay;
  member->endpoint->SetFaults(all);
  member->faults_end_at = loop_->Now() + duration;
}

void EndpointFleet::AddLinkFault(uint64_t target,
                                 const support::LinkFault& fault,
                                 core::Duration duration) {
  Member* member = Choose(target);
  if (member == nullptr) {
    return;
  }
  AddDisturbance(*member, duration);
  member->link_faults->Inject(fault, loop_->Now());
}

void EndpointFleet::ResetConnections(uint64_t target) {
  Member* member = Choose(target);
  if (member != nullptr) {
    AddDisturbance(*member, core::Duration::zero());
    member->relay->ResetAll();
  }
}

void EndpointFleet::SilenceConnections(uint64_t target) {
  Member* member = Choose(target);
  if (member != nullptr) {
    // Requests on the silenced connections may continue for this long.
    constexpr core::Duration kLongestRequest = core::seconds(5);
    AddDisturbance(*member, kLongestRequest);
    member->relay->StallAll();
  }
}

void EndpointFleet::Poll() {
  for (size_t i = 0; i < members_.size(); ++i) {
    PollMember(members_[i].get());
  }
}

void EndpointFleet::PollRegistration(Member* member) {
  const core::TimePoint now = loop_->Now();
  if (now < member->cut_until) {
    const core::TimePoint lapses_at =
        member->next_heartbeat_at - kHeartbeatPeriod + kRegistrationLifetime;
    if (member->is_registered && now >= lapses_at) {
      Unregister(member);
    }
  } else if (now >= member->next_heartbeat_at) {
    Register(member);
  }
}

void EndpointFleet::PollMember(Member* member) {
  const core::TimePoint now = loop_->Now();
  switch (member->state) {
    case State::kServing:
      PollRegistration(member);
      if (member->faults_end_at != core::TimePoint() &&
          now >= member->faults_end_at) {
        member->endpoint->SetFaults(member->usual);
        member->faults_end_at = {};
      }
      return;
    case State::kCrashed:
      if (member->is_registered &&
          now >= member->crashed_at + kRegistrationLifetime) {
        Unregister(member);
      }
      if (now >= member->transition_at) {
        Start(member).IgnoreError();
      }
      return;
    case State::kLeaving:
      if (member->endpoint->running() > 0) {
        member->transition_at =
            std::max(member->transition_at, now + kLastBytesTime);
      }
      if (now >= member->transition_at) {
        RemoveMember(member);
      }
      return;
    case State::kEnded:
      if (now >= member->transition_at) {
        RemoveMember(member);
      }
      return;
    case State::kGone:
      return;
  }
}

void EndpointFleet::RemoveMember(Member* member) {
  if (member->is_registered) {
    Unregister(member);
  }
  member->state = State::kGone;
  member->endpoint.reset();
  member->relay.reset();
}

}  // namespace wasabi::soak
