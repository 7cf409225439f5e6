#include "LibCore/event_loop.h"

#include <ev.h>

#include <utility>
#include <vector>

namespace wasabi::core {

struct Timer::Watcher {
  ev_timer native;
  struct ev_loop* loop;
  std::function<void()> callback;
};

Timer::Timer(struct ev_loop* loop, std::function<void()> callback)
    : watcher_(std::make_unique<Watcher>()) {
  watcher_->loop = loop;
  watcher_->callback = std::move(callback);
  ev_init(&watcher_->native, [](struct ev_loop*, ev_timer* native, int) {
    // The callback may destroy the timer, which owns it, so a copy is called.
    const auto callback = static_cast<Watcher*>(native->data)->callback;
    callback();
  });
  watcher_->native.data = watcher_.get();
}

Timer::~Timer() {
  Stop();
}

void Timer::StartOnce(Duration delay) {
  Stop();
  // libev counts the delay from its cached time, so without this update a long
  // loop iteration would shorten the delay.
  ev_now_update(watcher_->loop);
  ev_timer_set(&watcher_->native, ToSeconds(delay), 0.0);
  ev_timer_start(watcher_->loop, &watcher_->native);
}

void Timer::StartRepeating(Duration period) {
  Stop();
  ev_now_update(watcher_->loop);
  ev_timer_set(&watcher_->native, ToSeconds(period), ToSeconds(period));
  ev_timer_start(watcher_->loop, &watcher_->native);
}

void Timer::Stop() {
  ev_timer_stop(watcher_->loop, &watcher_->native);
}

struct IoWatcher::Watcher {
  ev_io native;
  struct ev_loop* loop;
  std::function<void(bool, bool)> callback;
};

IoWatcher::IoWatcher(struct ev_loop* loop,
                     int descriptor,
                     std::function<void(bool, bool)> callback)
    : watcher_(std::make_unique<Watcher>()) {
  watcher_->loop = loop;
  watcher_->callback = std::move(callback);
  ev_io_init(
      &watcher_->native,
      [](struct ev_loop*, ev_io* native, int events) {
        const auto callback = static_cast<Watcher*>(native->data)->callback;
        callback((events & EV_READ) != 0, (events & EV_WRITE) != 0);
      },
      descriptor, EV_READ);
  watcher_->native.data = watcher_.get();
  ev_io_start(loop, &watcher_->native);
}

IoWatcher::~IoWatcher() {
  ev_io_stop(watcher_->loop, &watcher_->native);
}

void IoWatcher::SetInterest(bool readable, bool writable) {
  const int events = (readable ? EV_READ : 0) | (writable ? EV_WRITE : 0);
  if (events == (watcher_->native.events & (EV_READ | EV_WRITE)) &&
      ev_is_active(&watcher_->native)) {
    return;
  }
  ev_io_stop(watcher_->loop, &watcher_->native);
  if (events == 0) {
    return;
  }
  ev_io_set(&watcher_->native, watcher_->native.fd, events);
  ev_io_start(watcher_->loop, &watcher_->native);
}

struct EventLoop::State {
  struct SignalWatcher {
    ev_signal native;
    std::function<void()> callback;
  };

  ev_async wake_up;
  ev_prepare before_sleep;
  std::vector<std::function<void()>> tasks;
  std::vector<std::function<void()>> before_sleep_callbacks;
  std::vector<std::unique_ptr<SignalWatcher>> signals;

  void RunTasks() {
    std::vector<std::function<void()>> ready;
    ready.swap(tasks);
    for (const std::function<void()>& task : ready) {
      task();
    }
  }
};

EventLoop::EventLoop()
    : loop_(ev_loop_new(EVFLAG_AUTO)), state_(std::make_unique<State>()) {
  ev_async_init(&state_->wake_up, [](struct ev_loop*, ev_async* native, int) {
    static_cast<State*>(native->data)->RunTasks();
  });
  state_->wake_up.data = state_.get();
  ev_async_start(loop_, &state_->wake_up);
  ev_unref(loop_);
  ev_prepare_init(
      &state_->before_sleep, [](struct ev_loop*, ev_prepare* native, int) {
        for (const auto& callback :
             static_cast<State*>(native->data)->before_sleep_callbacks) {
          callback();
        }
      });
  state_->before_sleep.data = state_.get();
  ev_prepare_start(loop_, &state_->before_sleep);
  ev_unref(loop_);
}

EventLoop::~EventLoop() {
  for (const auto& signal : state_->signals) {
    ev_signal_stop(loop_, &signal->native);
  }
  ev_ref(loop_);
  ev_prepare_stop(loop_, &state_->before_sleep);
  ev_ref(loop_);
  ev_async_stop(loop_, &state_->wake_up);
  // Tasks that have not run may own timers and watchers of the loop, and post
  // more as they are released.
  while (!state_->tasks.empty()) {
    const auto released = std::exchange(state_->tasks, {});
  }
  ev_loop_destroy(loop_);
}

void EventLoop::Run() {
  ev_run(loop_, 0);
}

void EventLoop::Stop() {
  ev_break(loop_, EVBREAK_ALL);
}

std::unique_ptr<Timer> EventLoop::NewTimer(std::function<void()> callback) {
  return std::unique_ptr<Timer>(new Timer(loop_, std::move(callback)));
}

std::unique_ptr<IoWatcher> EventLoop::Watch(
    int descriptor,
    std::function<void(bool, bool)> callback) {
  return std::unique_ptr<IoWatcher>(
      new IoWatcher(loop_, descriptor, std::move(callback)));
}

void EventLoop::Post(std::function<void()> task) {
  state_->tasks.push_back(std::move(task));
  ev_async_send(loop_, &state_->wake_up);
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto watcher = std::make_unique<State::SignalWatcher>();
  watcher->callback = std::move(callback);
  ev_signal_init(
      &watcher->native,
      [](struct ev_loop*, ev_signal* native, int) {
        static_cast<State::SignalWatcher*>(native->data)->callback();
      },
      signal_number);
  watcher->native.data = watcher.get();
  ev_signal_start(loop_, &watcher->native);
  ev_unref(loop_);
  state_->signals.push_back(std::move(watcher));
}

void EventLoop::OnBeforeSleep(std::function<void()> callback) {
  state_->before_sleep_callbacks.push_back(std::move(callback));
}

}  // namespace wasabi::core
