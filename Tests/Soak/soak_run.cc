#include "Tests/Soak/soak_run.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <utility>

#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::soak {

namespace {

using support::LinkFault;
using support::LinkFaultKind;
using support::StoreFaults;
using support::StoreOutage;

constexpr core::Duration kPollPeriod = core::milliseconds(10);
constexpr core::Duration kCheckPeriod = core::seconds(2);
constexpr size_t kCallers = 16;
constexpr core::Duration kStoreDelay = core::milliseconds(300);
constexpr core::Duration kEndpointDelay = core::milliseconds(150);
constexpr core::Duration kLinkDelay = core::milliseconds(120);
constexpr double kLostAnswerShare = 0.4;
constexpr double kFaultShare = 0.3;
constexpr double kUnframedShare = 0.8;
constexpr double kRepeatedShare = 0.8;
// Harmful prompts and limits last for these times longer than other faults, as
// their bounds apply only some seconds later.
constexpr core::Duration kHarmfulTime = core::seconds(9);
constexpr core::Duration kLimitTime = core::seconds(6);
constexpr core::Duration kEvacuationTime = core::seconds(6);
// Endpoints say for so long that they are brittle before they let none wait,
// and until then a host is paused; requests take longer then, so that several
// are at each endpoint.
constexpr core::Duration kBrittleLead = core::seconds(3);
constexpr core::Duration kBrittleDelay = core::milliseconds(300);
constexpr size_t kBrittleLimit = 2;
// Time for which endpoints refuse requests, and the times in it at which all
// hosts are killed.
constexpr core::Duration kRefusalTime = core::seconds(7);
constexpr core::Duration kFirstKill = core::seconds(3);
constexpr core::Duration kSecondKill = core::seconds(5);
constexpr double kWideRefusalShare = 0.45;
// Longer than a registration takes to lapse.
constexpr core::Duration kLapseTime = core::seconds(5);
// Requests per second.
constexpr double kEndpointLimit = 2;
// Times between the SIGTERMs of hosts that stop together, and between two to
// one process.
constexpr core::Duration kStopGap = core::milliseconds(250);
constexpr core::Duration kSecondSignalDelay = core::seconds(1);
// A host that came back is stopped again this long after its start: while it
// starts, or when it serves.
constexpr core::Duration kStartingTime = core::milliseconds(60);
constexpr core::Duration kServingTime = core::seconds(1);
constexpr core::Duration kBackupPeriod = core::milliseconds(500);
// The oldest backup, which a restore uses, is this many periods old.
constexpr size_t kBackups = 6;
// Time for which the store is away while it is restored, and time after that
// until the operator and the endpoints write their records again.
constexpr core::Duration kRestoreTime = core::milliseconds(500);
constexpr core::Duration kRewriteDelay = core::seconds(1);

}  // namespace

absl::StatusOr<std::unique_ptr<SoakRun>> SoakRun::Create(
    core::EventLoop* loop,
    const SoakOptions& options) {
  std::unique_ptr<SoakRun> run(new SoakRun(loop, options));
  TRY(run->Start());
  return run;
}

SoakRun::SoakRun(core::EventLoop* loop, const SoakOptions& options)
    : loop_(loop),
      options_(options),
      random_(options.seed),
      operator_(loop, &log_, &history_),
      endpoints_(loop, options_, &log_, &history_),
      plan_(MakeFaultPlan(options)) {
  history_.started_at = loop->Now();
  polled_at_ = history_.started_at;
  check_at_ = history_.started_at + kCheckPeriod;
}

absl::Status SoakRun::Start() {
  operator_.Configure();
  for (size_t i = 0; i < options_.model_endpoints; ++i) {
    TRY(endpoints_.Add(core::PoolId(kModelPool)));
  }
  for (size_t i = 0; i < options_.plain_endpoints; ++i) {
    TRY(endpoints_.Add(core::PoolId(kPlainPool)));
    TRY(endpoints_.Add(core::PoolId(kOtherPlainPool)));
  }
  for (size_t i = 0; i < options_.long_endpoints; ++i) {
    TRY(endpoints_.Add(core::PoolId(kLongPool)));
  }
  const HostPorts ports = FreeHostPorts();
  for (size_t i = 0; i < options_.hosts; ++i) {
    TRY_ASSIGN(auto host, RouterProcess::Create(loop_, options_, i, ports,
                                                &log_, &history_));
    addresses_.push_back({.callers = host->callers_address(),
                          .discovery = host->discovery_address()});
    hosts_.push_back(std::move(host));
  }
  for (size_t i = 0; i < kCallers; ++i) {
    callers_.push_back(std::make_unique<Caller>(loop_, &addresses_, &history_,
                                                i, random_.Next()));
    if (options_.family == kGrantFamily) {
      callers_.back()->SendLargeRequests();
    }
  }
  return absl::OkStatus();
}

SoakResult SoakRun::Run() {
  poll_timer_ = loop_->NewTimer([this]() { Poll(); });
  poll_timer_->StartRepeating(kPollPeriod);
  loop_->Run();
  SoakResult result;
  result.calls = history_.calls.size();
  for (const auto& it : history_.calls) {
    constexpr int kUnavailable = 503;
    result.served += IsServed(*it) ? 1 : 0;
    result.refused += it->status == kUnavailable ? 1 : 0;
    result.resumed += it->first_attempt ? 1 : 0;
    result.continued += it->first_attempt && IsServed(*it) ? 1 : 0;
  }
  result.refusals = CountRefusals(history_);
  result.violations = violations_;
  return result;
}

void SoakRun::Poll() {
  for (const auto& it : hosts_) {
    it->Poll();
  }
  endpoints_.Poll();
  for (const auto& it : callers_) {
    it->Poll();
  }
  SendRequests();
  BackUpStore();
  InjectDueFaults();
  if (loop_->Now() >= check_at_ || Elapsed() >= options_.length) {
    CheckNow();
  }
  if (Elapsed() >= options_.length || !violations_.empty()) {
    loop_->Stop();
  }
}

void SoakRun::SendRequests() {
  const core::TimePoint now = loop_->Now();
  requests_due_ +=
      core::ToSeconds(now - polled_at_) * options_.requests_per_second;
  polled_at_ = now;
  while (requests_due_ >= 1) {
    requests_due_ -= 1;
    callers_[random_.Below(callers_.size())]->SendRequest(operator_.version());
  }
}

void SoakRun::InjectDueFaults() {
  while (next_fault_ < plan_.size() && Elapsed() >= plan_[next_fault_].at) {
    const FaultAction& action = plan_[next_fault_++];
    std::cout << fmt::format(
                     "fault at_ms={} kind={} for_ms={} target={}\n",
                     core::ToMilliseconds(Elapsed()), NameOf(action.kind),
                     core::ToMilliseconds(action.duration), action.target)
              << std::flush;
    InjectFault(action);
  }
}

void SoakRun::BackUpStore() {
  if (loop_->Now() < backup_at_) {
    return;
  }
  backup_at_ = loop_->Now() + kBackupPeriod;
  backups_.push_back(log_.log());
  if (backups_.size() > kBackups) {
    backups_.pop_front();
  }
}

void SoakRun::CheckNow() {
  check_at_ = loop_->Now() + kCheckPeriod;
  violations_ = CheckHistory(history_, options_.bounds, loop_->Now());
}

void SoakRun::InjectFault(const FaultAction& action) {
  using Handler = void (SoakRun::*)(const FaultAction& action);
  static constexpr std::array<Handler, static_cast<size_t>(FaultKind::kCount)>
      kHandlers = {&SoakRun::StopHost,
                   &SoakRun::StopSeveralHosts,
                   &SoakRun::StopHostAgain,
                   &SoakRun::SignalHostTwice,
                   &SoakRun::ReloadHost,
                   &SoakRun::ChangeConfiguration,
                   &SoakRun::ReplaceEndpoint,
                   &SoakRun::UnregisterEndpoint,
                   &SoakRun::LeaveByAnswers,
                   &SoakRun::EvacuateDataCentre,
                   &SoakRun::KillHost,
                   &SoakRun::PauseHost,
                   &SoakRun::KillAllHosts,
                   &SoakRun::CutHostFromStore,
                   &SoakRun::CutHostOneWay,
                   &SoakRun::ResetStoreConnections,
                   &SoakRun::SilenceStoreConnections,
                   &SoakRun::RefuseHost,
                   &SoakRun::StopStore,
                   &SoakRun::SlowStore,
                   &SoakRun::LoseStoreAnswers,
                   &SoakRun::CompactStore,
                   &SoakRun::RestoreStore,
                   &SoakRun::CrashEndpoint,
                   &SoakRun::FailEndpointRequests,
                   &SoakRun::LoseEndpointAnswers,
                   &SoakRun::CutEndpointStreams,
                   &SoakRun::SlowEndpoint,
                   &SoakRun::AnswerUnframed,
                   &SoakRun::SendEndlessly,
                   &SoakRun::CopyRefusals,
                   &SoakRun::RepeatRefusals,
                   &SoakRun::RenewEndpoint,
                   &SoakRun::TakeAddressOver,
                   &SoakRun::PauseEndpoint,
                   &SoakRun::ResetEndpointConnections,
                   &SoakRun::SilenceEndpointConnections,
                   &SoakRun::DelayEndpointLink,
                   &SoakRun::CutEndpointOneWay,
                   &SoakRun::SendHarmfulPrompts,
                   &SoakRun::LimitEndpoint,
                   &SoakRun::PauseHostBesideBrittle,
                   &SoakRun::KillAllBesideRefusals,
                   &SoakRun::LimitWhileLapsing,
                   &SoakRun::SendMalformed,
                   &SoakRun::AnswerEarly,
                   &SoakRun::BearAgain};
  (this->*kHandlers.at(static_cast<size_t>(action.kind)))(action);
}

RouterProcess* SoakRun::TargetHost(const FaultAction& action) {
  return hosts_[action.target % hosts_.size()].get();
}

void SoakRun::AddDisturbance(Disturbance::Scope scope,
                             size_t host,
                             core::Duration duration) {
  const core::TimePoint now = loop_->Now();
  history_.disturbances.push_back(std::make_shared<Disturbance>(Disturbance{
      .scope = scope, .host = host, .from = now, .to = now + duration}));
}

void SoakRun::SetStoreFaults(const StoreFaults& faults,
                             core::Duration duration) {
  AddDisturbance(Disturbance::Scope::kStore, 0, duration);
  for (const auto& it : hosts_) {
    it->store()->SetFaults(faults);
  }
  CallAfter(duration, [this]() {
    for (const auto& it : hosts_) {
      it->store()->SetFaults({});
    }
  });
}

void SoakRun::CallAfter(core::Duration delay, std::function<void()> task) {
  timers_.push_back(loop_->NewTimer(std::move(task)));
  timers_.back()->StartOnce(delay);
}

void SoakRun::StopHost(const FaultAction& action) {
  TargetHost(action)->Stop();
}

void SoakRun::StopSeveralHosts(const FaultAction& action) {
  for (size_t i = 0; i + 1 < hosts_.size(); ++i) {
    RouterProcess* host = hosts_[(action.target + i) % hosts_.size()].get();
    CallAfter(i * kStopGap, [host]() { host->Stop(); });
  }
}

void SoakRun::StopHostAgain(const FaultAction& action) {
  const bool is_starting = action.target / hosts_.size() % 2 == 0;
  TargetHost(action)->StopAgainAfter(is_starting ? kStartingTime
                                                 : kServingTime);
  TargetHost(action)->Stop();
}

void SoakRun::SignalHostTwice(const FaultAction& action) {
  RouterProcess* host = TargetHost(action);
  host->Stop();
  CallAfter(kSecondSignalDelay, [host]() { host->RepeatStopSignal(); });
}

void SoakRun::ReloadHost(const FaultAction& action) {
  TargetHost(action)->Reload();
}

void SoakRun::ChangeConfiguration(const FaultAction& /*action*/) {
  operator_.Configure();
}

void SoakRun::ReplaceEndpoint(const FaultAction& action) {
  endpoints_.Replace(action.target, Announcement::kRegistration);
}

void SoakRun::UnregisterEndpoint(const FaultAction& action) {
  endpoints_.Replace(action.target, Announcement::kNone);
}

void SoakRun::LeaveByAnswers(const FaultAction& action) {
  endpoints_.Replace(action.target, Announcement::kAnswers);
}

void SoakRun::EvacuateDataCentre(const FaultAction& action) {
  const core::DataCentreId data_centre = DataCentreOf(action.target);
  const core::Duration duration = action.duration + kEvacuationTime;
  operator_.Evacuate(data_centre);
  endpoints_.RecordEvacuation(data_centre, duration);
  CallAfter(duration,
            [this, data_centre]() { operator_.EndEvacuation(data_centre); });
}

void SoakRun::KillHost(const FaultAction& action) {
  TargetHost(action)->Kill();
}

void SoakRun::PauseHost(const FaultAction& action) {
  TargetHost(action)->Pause(action.duration);
}

void SoakRun::KillAllHosts(const FaultAction& /*action*/) {
  for (const auto& it : hosts_) {
    it->Kill();
  }
}

void SoakRun::CutHostFromStore(const FaultAction& action) {
  RouterProcess* host = TargetHost(action);
  AddDisturbance(Disturbance::Scope::kHost, host->index(), action.duration);
  host->store_faults()->Inject(
      {.kind = LinkFaultKind::kFreeze, .duration = action.duration},
      loop_->Now());
}

void SoakRun::CutHostOneWay(const FaultAction& action) {
  RouterProcess* host = TargetHost(action);
  AddDisturbance(Disturbance::Scope::kHost, host->index(), action.duration);
  const bool affects_to_target = random_.Below(2) == 0;
  host->store_faults()->Inject({.kind = LinkFaultKind::kFreeze,
                                .affects_to_target = affects_to_target,
                                .affects_to_client = !affects_to_target,
                                .duration = action.duration},
                               loop_->Now());
}

void SoakRun::ResetStoreConnections(const FaultAction& action) {
  RouterProcess* host = TargetHost(action);
  AddDisturbance(Disturbance::Scope::kHost, host->index(),
                 core::Duration::zero());
  host->store_relay()->ResetAll();
}

void SoakRun::SilenceStoreConnections(const FaultAction& action) {
  RouterProcess* host = TargetHost(action);
  AddDisturbance(Disturbance::Scope::kHost, host->index(),
                 core::Duration::zero());
  host->store_relay()->StallAll();
}

void SoakRun::RefuseHost(const FaultAction& action) {
  constexpr std::array<StoreOutage, 4> kOutages = {
      StoreOutage::kBusy, StoreOutage::kTooMany, StoreOutage::kReset,
      StoreOutage::kSilent};
  RouterProcess* host = TargetHost(action);
  AddDisturbance(Disturbance::Scope::kHost, host->index(), action.duration);
  host->store()->SetFaults(
      {.outage = kOutages.at(random_.Below(kOutages.size()))});
  CallAfter(action.duration, [host]() { host->store()->SetFaults({}); });
}

void SoakRun::StopStore(const FaultAction& action) {
  SetStoreFaults({.outage = action.target % 2 == 0 ? StoreOutage::kBusy
                                                   : StoreOutage::kSilent},
                 action.duration);
}

void SoakRun::SlowStore(const FaultAction& action) {
  SetStoreFaults({.delay = kStoreDelay}, action.duration);
}

void SoakRun::LoseStoreAnswers(const FaultAction& action) {
  SetStoreFaults({.lost_answer_share = kLostAnswerShare}, action.duration);
}

void SoakRun::CompactStore(const FaultAction& /*action*/) {
  AddDisturbance(Disturbance::Scope::kStore, 0, core::Duration::zero());
  log_.CompactAll();
}

void SoakRun::RestoreStore(const FaultAction& /*action*/) {
  SetStoreFaults({.outage = StoreOutage::kReset}, kRestoreTime + kRewriteDelay);
  CallAfter(kRestoreTime, [this]() {
    log_.RestoreFrom(backups_.front());
    for (const auto& it : hosts_) {
      it->store()->SetFaults({});
    }
  });
  CallAfter(kRestoreTime + kRewriteDelay, [this]() {
    operator_.Rewrite();
    endpoints_.RegisterAgain();
  });
}

void SoakRun::CrashEndpoint(const FaultAction& action) {
  endpoints_.Crash(action.target, action.duration);
}

void SoakRun::FailEndpointRequests(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.failures = kFaultShare},
                       action.duration);
}

void SoakRun::LoseEndpointAnswers(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.lost_answer_share = kFaultShare},
                       action.duration);
}

void SoakRun::CutEndpointStreams(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.cut_answer_share = kFaultShare},
                       action.duration);
}

void SoakRun::SlowEndpoint(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.delay = kEndpointDelay},
                       action.duration);
}

void SoakRun::AnswerUnframed(const FaultAction& action) {
  endpoints_.SetFaults(
      action.target,
      {.cut_answer_share = kFaultShare, .unframed_share = kUnframedShare},
      action.duration);
}

void SoakRun::SendEndlessly(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.endless_share = kFaultShare},
                       action.duration);
}

void SoakRun::CopyRefusals(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.copied_refusal_share = kFaultShare},
                       action.duration);
}

void SoakRun::RepeatRefusals(const FaultAction& action) {
  endpoints_.SetFaults(
      action.target,
      {.refusal_share = kFaultShare, .repeated_refusal_share = kRepeatedShare},
      action.duration);
}

void SoakRun::RenewEndpoint(const FaultAction& action) {
  endpoints_.Renew(action.target, Successor::kSamePool);
}

void SoakRun::TakeAddressOver(const FaultAction& action) {
  endpoints_.Renew(action.target, Successor::kOtherPool);
}

void SoakRun::PauseEndpoint(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.pause_share = kFaultShare},
                       action.duration);
}

void SoakRun::ResetEndpointConnections(const FaultAction& action) {
  endpoints_.ResetConnections(action.target);
}

void SoakRun::SilenceEndpointConnections(const FaultAction& action) {
  endpoints_.SilenceConnections(action.target);
}

void SoakRun::DelayEndpointLink(const FaultAction& action) {
  endpoints_.AddLinkFault(action.target,
                          {.kind = LinkFaultKind::kDelay,
                           .duration = action.duration,
                           .delay = kLinkDelay},
                          action.duration);
}

void SoakRun::CutEndpointOneWay(const FaultAction& action) {
  const bool affects_to_target = action.target % 2 == 0;
  endpoints_.AddLinkFault(action.target,
                          {.kind = LinkFaultKind::kFreeze,
                           .affects_to_target = affects_to_target,
                           .affects_to_client = !affects_to_target,
                           .duration = action.duration},
                          action.duration);
}

void SoakRun::SendHarmfulPrompts(const FaultAction& action) {
  const std::string part =
      fmt::format("{}{:x}", support::kHarmfulPartPrefix, action.target % 4096);
  const auto set_part = [this](const std::string& value) {
    for (const auto& it : callers_) {
      it->SetHarmfulPart(value);
    }
  };
  set_part(part);
  CallAfter(action.duration + kHarmfulTime, [set_part]() { set_part(""); });
}

void SoakRun::LimitEndpoint(const FaultAction& action) {
  endpoints_.SetLimit(action.target, kEndpointLimit,
                      action.duration + kLimitTime);
}

void SoakRun::PauseHostBesideBrittle(const FaultAction& action) {
  const core::PoolId pool(action.target % 2 == 0 ? kPlainPool
                                                 : kOtherPlainPool);
  support::EndpointFaults faults{.brittle_limit = kBrittleLimit,
                                 .delay = kBrittleDelay};
  endpoints_.SetUsual(pool, faults);
  RouterProcess* host = TargetHost(action);
  CallAfter(kBrittleLead,
            [this, pool, faults, host, duration = action.duration]() mutable {
              faults.waiting_room = 0;
              endpoints_.SetUsual(pool, faults);
              endpoints_.BeginBrittlePeriod(pool, duration);
              host->Pause(duration);
            });
  CallAfter(kBrittleLead + action.duration,
            [this, pool]() { endpoints_.SetUsual(pool, {}); });
}

void SoakRun::KillAllBesideRefusals(const FaultAction& action) {
  endpoints_.SetFaultsOfAll({.refusal_share = kWideRefusalShare}, kRefusalTime);
  for (const core::Duration at : {kFirstKill, kSecondKill}) {
    CallAfter(at, [this, action]() { KillAllHosts(action); });
  }
}

void SoakRun::LimitWhileLapsing(const FaultAction& action) {
  endpoints_.SetLimit(action.target, kEndpointLimit, kLapseTime + kLimitTime);
  endpoints_.CutFromStore(action.target, kLapseTime);
}

void SoakRun::SendMalformed(const FaultAction& action) {
  endpoints_.SetFaults(action.target, {.malformed_share = kFaultShare},
                       action.duration);
}

void SoakRun::AnswerEarly(const FaultAction& action) {
  endpoints_.AnswerEarly(action.target, action.duration);
}

void SoakRun::BearAgain(const FaultAction& action) {
  endpoints_.BearAgain(action.target, action.duration);
}

}  // namespace wasabi::soak
