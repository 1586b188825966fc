// Implements the announcement loop.
#include "fakes/target/Announcer.h"

#include <sstream>

namespace magnoliamill::fakes {
namespace {

constexpr auto Interval = std::chrono::milliseconds(500);
constexpr auto Timeout = std::chrono::milliseconds(400);
/// Delay before the next entry VM is tried.
constexpr auto FailurePause = std::chrono::milliseconds(50);

} // namespace

Announcer::Announcer(base::EventLoopThread &loop, gateway::TargetClient &client,
                     std::vector<gateway::TargetAddress> entries,
                     std::function<std::string()> compose)
    : Client(client), Entries(std::move(entries)), Compose(std::move(compose)),
      Timer(loop.context()) {}

void Announcer::start() { announce(); }

void Announcer::stop() {
  IsStopped = true;
  Timer.cancel();
}

void Announcer::schedule(base::Duration delay) {
  if (IsStopped)
    return;
  Timer.expires_after(delay);
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec)
      self->announce();
  });
}

void Announcer::announce() {
  if (Entries.empty() || IsStopped)
    return;
  std::string text = Compose();
  if (text.empty())
    return schedule(Interval);
  Client.exchange(
      Entries[Next], "POST", "/v1/targets/announce", std::move(text), Timeout,
      [self = shared_from_this()](const base::Result<std::string> &reply) {
        if (reply)
          return self->schedule(Interval);
        self->Next = (self->Next + 1) % self->Entries.size();
        self->schedule(FailurePause);
      });
}

std::vector<gateway::TargetAddress> parseAddresses(const std::string &text) {
  std::vector<gateway::TargetAddress> addresses;
  std::istringstream list(text);
  std::string item;
  while (std::getline(list, item, ',')) {
    if (auto address = base::parseHostPort(item))
      addresses.push_back(std::move(*address));
  }
  return addresses;
}

} // namespace magnoliamill::fakes
