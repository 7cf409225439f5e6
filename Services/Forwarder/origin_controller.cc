#include "Services/Forwarder/origin_controller.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::forwarder {

namespace {

using forwarding::OriginHistory;
using forwarding::VersionAction;
using forwarding::VersionRecord;

// Before, several hosts of a fleet that starts take themselves for its reader.
constexpr core::Duration kSettleTime = core::seconds(1);
constexpr core::Duration kFirstStartSettleTime = core::seconds(3);
// Endpoints whose registration expired or was lost register again within about
// two seconds after the platform is back.
constexpr core::Duration kReregistrationTime = core::milliseconds(2100);
// Minimum interval of reads for streams whose origin is not certain yet.
constexpr core::Duration kCertaintyReadInterval = core::seconds(1);

}  // namespace

OriginController::OriginController(
    const OriginContext& context,
    const ForwarderSettings& settings,
    uint64_t random_seed,
    const forwarding::OriginRecorder::SendFunction& send)
    : context_(context),
      is_first_start_(settings.is_first_start),
      started_at_(context.scheduler->Now()),
      recorder_(settings.host,
                send,
                [this](const std::string& key,
                       const std::string& value,
                       const std::function<void(bool)>& done) {
                  Put(key, value,
                      [done](const auto& epoch) { done(epoch.ok()); });
                }),
      reporter_(settings.host, send, &recorder_, random_seed),
      stored_(settings.host,
              context.history,
              random_seed,
              send,
              [this]() { Read(); }),
      confirmation_(
          [this](forwarding::OriginConfirmation::ReadCallback callback) {
            if (registrations_ == nullptr || !registrations_->is_loaded()) {
              callback(false);
              return;
            }
            ReadRegistrations(registrations_->next(),
                              {.started_at = context_.scheduler->Now(),
                               .outdated = {},
                               .callback = std::move(callback)});
          }),
      self_(std::make_shared<OriginController*>(this)) {
  if (is_first_start_) {
    context_.history->SetFirstStart();
    recorder_.SetPosition(0);
    stored_.SetVersions({});
  }
}

void OriginController::SetHosts(const std::vector<core::HostId>& running,
                                const std::vector<core::HostId>& registered,
                                const FleetRoles& roles) {
  reporter_.SetHosts(running);
  stored_.SetHosts(running, registered);
  registered_hosts_ = registered.size();
  roles_ = roles;
}

void OriginController::Tick(platform::LogEpoch epoch) {
  const core::TimePoint now = context_.scheduler->Now();
  reporter_.Tick(*context_.history, now);
  if (recorder_.NeedsPosition()) {
    stored_.StartRead(now);
  }
  recorder_.Tick(now);
  stored_.Tick(now);
  confirmation_.Tick(now);
  UpdateCertainty();
  UpdateVersions(epoch);
}

void OriginController::UpdateVersions(platform::LogEpoch epoch) {
  const core::TimePoint now = context_.scheduler->Now();
  const bool is_settled =
      now - started_at_ >=
          (is_first_start_ ? kFirstStartSettleTime : kSettleTime) &&
      2 * (roles_.others.size() + 1) >= registered_hosts_;
  if (is_writing_versions_) {
    return;
  }
  const auto rank =
      is_settled ? std::optional(roles_.reader_rank) : std::nullopt;
  switch (versions_.Decide(rank, stored_.versions(), *context_.history, epoch,
                           now)) {
    case VersionAction::kNone:
      return;
    case VersionAction::kRead:
      stored_.StartRead(now);
      return;
    case VersionAction::kWrite:
      WriteVersions(epoch);
      return;
  }
}

void OriginController::WriteVersions(platform::LogEpoch epoch) {
  const VersionRecord record = forwarding::VersionRecorder::NewRecord(
      *context_.history, epoch, context_.scheduler->Now());
  is_writing_versions_ = true;
  Put(std::string(forwarding::kVersionsKey), core::Encode(record),
      [this, record](const absl::StatusOr<platform::LogEpoch>& written) {
        is_writing_versions_ = false;
        // A record that belongs to an earlier history is written again.
        const bool is_valid = written.ok() && *written == record.epoch;
        if (is_valid) {
          stored_.SetVersions(record);
        }
        context_.events->Record(
            core::EventCode::kVersionsRecorded, "",
            fmt::format("pools={} epoch={} is_valid={} rank={}",
                        record.pools.size(), record.epoch, is_valid,
                        roles_.reader_rank));
      });
}

void OriginController::Put(
    const std::string& key,
    const std::string& value,
    std::function<void(const absl::StatusOr<platform::LogEpoch>&)> done) {
  ++calls_;
  context_.adapters->topics->Put(
      context_.adapters->names.origins, key, value,
      [weak = std::weak_ptr(self_), done = std::move(done)](
          const absl::StatusOr<platform::LogEpoch>& written) {
        if (const auto self = weak.lock()) {
          done(written);
        }
      });
}

void OriginController::Read() {
  ++calls_;
  context_.adapters->topics->ReadNewest(
      context_.adapters->names.origins,
      [weak = std::weak_ptr(self_)](
          const absl::StatusOr<platform::KeyedPage>& page) {
        if (const auto self = weak.lock()) {
          (*self)->OnRead(page);
        }
      });
}

void OriginController::OnRead(const absl::StatusOr<platform::KeyedPage>& page) {
  const core::TimePoint now = context_.scheduler->Now();
  stored_.OnRead(page, now);
  if (page.ok()) {
    versions_.OnRead();
    if (recorder_.NeedsPosition()) {
      recorder_.SetPosition(stored_.next_slot());
    }
  }
  context_.events->Record(
      core::EventCode::kStoredOriginsRead, "",
      page.ok() ? fmt::format("records={} streams={} epoch={} is_complete={}",
                              page->records.size(), stored_.streams(),
                              page->epoch, context_.history->IsComplete(now))
                : "error=" + core::MessageOf(page.status()));
}

void OriginController::UpdateCertainty() {
  if (registrations_ == nullptr) {
    return;
  }
  const core::TimePoint now = context_.scheduler->Now();
  if (!registrations_->is_reachable()) {
    unreachable_at_ = now;
  }
  RecordRead(registrations_->own_read_started_at(), {});
  if (now < next_certainty_read_at_ || !context_.certainty->IsReadDue(now)) {
    return;
  }
  next_certainty_read_at_ = now + kCertaintyReadInterval;
  // OnRegistrations records what the read shows.
  confirmation_.Confirm(now, now, [](bool /*is_confirmed*/) {});
}

void OriginController::RecordRead(
    core::TimePoint started_at,
    const std::set<core::SocketAddress>& outdated) {
  if (started_at != core::TimePoint() && !IsRecovering(started_at)) {
    context_.certainty->RecordRead(started_at, outdated);
  }
}

void OriginController::ReadRegistrations(platform::Offset from,
                                         RegistrationRead read) {
  ++calls_;
  context_.adapters->topics->ReadFrom(
      context_.adapters->names.registrations, from, core::Duration::zero(),
      [weak = std::weak_ptr(self_), from, read = std::move(read)](
          const absl::StatusOr<platform::KeyedPage>& page) {
        if (const auto self = weak.lock()) {
          (*self)->OnRegistrations(from, page, read);
        }
      });
}

void OriginController::OnRegistrations(
    platform::Offset from,
    const absl::StatusOr<platform::KeyedPage>& page,
    RegistrationRead read) {
  // Offsets of another history name other records than those of the view.
  const bool is_usable = page.ok() && page->next >= from &&
                         page->epoch == registrations_->epoch() &&
                         !IsRecovering(context_.scheduler->Now());
  if (!is_usable) {
    context_.events->Record(
        core::EventCode::kStoredOriginsRead, "",
        fmt::format("registrations from={} is_usable=false error={}", from,
                    core::MessageOf(page.status())));
    read.callback(false);
    return;
  }
  for (const platform::KeyedRecord& it : page->records) {
    if (!it.value) {
      continue;
    }
    const auto registration =
        context_.adapters->records->DecodeRegistration(it.key, *it.value);
    // The registrations' view logs the entries that can't be decoded.
    if (registration.ok()) {
      context_.history->RecordStream(registration->endpoint,
                                     context_.scheduler->Now());
      if (IsOutdated(registration->endpoint)) {
        read.outdated.insert(registration->endpoint.address);
      }
    }
  }
  if (page->lacks_newer_records) {
    ReadRegistrations(page->next, std::move(read));
    return;
  }
  RecordRead(read.started_at, read.outdated);
  read.callback(true);
}

bool OriginController::IsOutdated(
    const forwarding::Endpoint& registered) const {
  const forwarding::Endpoint* held = context_.endpoints->Find(registered.id);
  return held == nullptr || held->started_at_ms != registered.started_at_ms ||
         held->software_version != registered.software_version ||
         held->address != registered.address;
}

bool OriginController::IsRecovering(core::TimePoint at) const {
  const core::TimePoint recovered_at =
      std::max(registrations_->recovered_at(), unreachable_at_);
  return recovered_at != core::TimePoint() &&
         at - recovered_at < kReregistrationTime;
}

}  // namespace wasabi::forwarder
