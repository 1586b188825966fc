// Test fixture: a core that queues requests for permits until the test grants
// them.
#pragma once

#include "LoopbackCore.h"

#include <atomic>
#include <vector>

namespace magnoliamill::entry::tests {

class PermitQueue {
public:
  std::uint16_t port() const { return Core.port(); }
  std::size_t countAsks() const { return Asks; }
  bool awaitAsks(std::size_t n) {
    return gateway::tests::waitFor([this, n] { return Asks >= n; });
  }
  /// Grants the permit that was asked for as number \p index, from 0.
  void grant(std::size_t index, const keyspace::TargetInstance &target) {
    Core.run([&] {
      Link->send(fleet::PermitReply{
          Numbers[index], admission::PermitDecision::Granted, target, {}});
    });
  }

private:
  void onFrame(const LoopbackCore::LinkPtr &from, const fleet::Frame &frame) {
    const auto *ask = std::get_if<fleet::PermitAsk>(&frame);
    if (!ask)
      return;
    Link = from;
    Numbers.push_back(ask->Number);
    fleet::PermitReply reply;
    reply.Number = ask->Number;
    reply.Decision = admission::PermitDecision::Queued;
    Link->send(reply);
    ++Asks;
  }

  LoopbackCore::LinkPtr Link;
  std::vector<std::uint64_t> Numbers;
  std::atomic<std::size_t> Asks{0};
  LoopbackCore Core{
      [this](const auto &from, const auto &frame) { onFrame(from, frame); }};
};

} // namespace magnoliamill::entry::tests
