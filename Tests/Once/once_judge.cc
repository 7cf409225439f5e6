#include "Tests/Once/once_judge.h"

#include <algorithm>
#include <map>
#include <memory>

#include "LibCore/text.h"

namespace wasabi::once {

namespace {

using WorkPointer = std::shared_ptr<Work>;

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Returns for how long an endpoint worked on a request after it had begun at
// another one. `works` are in order of their beginning.
core::Duration LongestOverlap(const std::vector<WorkPointer>& works,
                              core::TimePoint now) {
  core::Duration longest{};
  for (size_t i = 0; i + 1 < works.size(); ++i) {
    for (size_t k = i + 1; k < works.size(); ++k) {
      const core::TimePoint both_work_from = std::max(
          works[k]->began_at, works[i]->woke_at.value_or(works[i]->began_at));
      longest =
          std::max(longest, works[i]->ended_at.value_or(now) - both_work_from);
    }
  }
  return longest;
}

std::string Describe(const Call& call, const std::vector<WorkPointer>& works) {
  std::string text =
      fmt::format("id={} kind={} host={} status={} end={}", call.id.value(),
                  static_cast<int>(call.kind), call.host, call.status,
                  call.end ? static_cast<int>(*call.end) : -1);
  for (const WorkPointer& it : works) {
    text += fmt::format(
        "; {} began_ms={} ended_ms={}", it->endpoint,
        core::ToMilliseconds(it->began_at - call.sent_at),
        it->ended_at ? core::ToMilliseconds(*it->ended_at - call.sent_at) : -1);
  }
  return text;
}

}  // namespace

Verdict Judge(const OnceRecord& record, core::TimePoint now) {
  std::map<core::RequestId, std::vector<WorkPointer>> works_of;
  for (const WorkPointer& it : record.works) {
    works_of[it->request].push_back(it);
  }
  Verdict verdict;
  for (const auto& it : record.calls) {
    std::vector<WorkPointer>& works = works_of[it->id];
    std::stable_sort(works.begin(), works.end(),
                     [](const WorkPointer& a, const WorkPointer& b) {
                       return a->began_at < b->began_at;
                     });
    const auto add = [&](const char* rule, size_t* count) {
      ++*count;
      verdict.details.push_back(
          fmt::format("{}: {}", rule, Describe(*it, works)));
    };
    const core::Duration overlap = LongestOverlap(works, now);
    verdict.longest_overlap = std::max(verdict.longest_overlap, overlap);
    if (MayRunOnce(it->kind) && works.size() > 1) {
      add("ran twice", &verdict.ran_twice);
    } else if (overlap > kMaxOverlap) {
      add("overlapped", &verdict.overlapped);
    }
    if (MayRunOnce(it->kind) && PromisesNotRun(it->status) && !works.empty()) {
      add("ran though refused", &verdict.ran_though_refused);
    }
    const bool works_for_nobody =
        it->has_left &&
        std::any_of(works.begin(), works.end(), [&](const WorkPointer& work) {
          return work->ended_at.value_or(now) -
                     std::max(it->ended_at,
                              work->woke_at.value_or(it->ended_at)) >
                 kMaxOrphanTime;
        });
    if (works_for_nobody) {
      add("ran for nobody", &verdict.ran_for_nobody);
    }
    const bool ended_unanswered = it->end &&
                                  *it->end != http::OriginOutcome::kComplete &&
                                  it->status == 0 && !it->has_left;
    if (ended_unanswered && !works.empty()) {
      add("ran unanswered", &verdict.ran_unanswered);
    }
  }
  return verdict;
}

}  // namespace wasabi::once
