// Computes counts, exact percentiles and Jain's fairness index.
#include "bench/load/LoadReport.h"

#include <algorithm>
#include <cmath>

namespace magnoliamill::bench {
namespace {

double percentile(std::vector<double> &sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

boost::json::object describeLatency(std::vector<double> samples) {
  std::ranges::sort(samples);
  boost::json::object document;
  document["p50"] = percentile(samples, 0.5);
  document["p99"] = percentile(samples, 0.99);
  document["p999"] = percentile(samples, 0.999);
  return document;
}

} // namespace

double jainIndex(const std::vector<double> &shares) {
  double sum = 0;
  double squares = 0;
  for (double share : shares) {
    sum += share;
    squares += share * share;
  }
  if (squares == 0)
    return 1;
  return sum * sum / (static_cast<double>(shares.size()) * squares);
}

LoadReport::LoadReport(std::vector<ClientAccountRate> accounts)
    : ClientAccounts(std::move(accounts)), Tallies(ClientAccounts.size()) {}

void LoadReport::add(std::uint32_t account, RequestOutcome outcome,
                     std::string_view code, std::chrono::nanoseconds latency) {
  const double ms = std::chrono::duration<double, std::milli>(latency).count();
  Tally &tally = Tallies[account];
  if (outcome == RequestOutcome::Answered) {
    ++tally.Answered;
    AnsweredMs.push_back(ms);
    return;
  }
  ++(outcome == RequestOutcome::NotRun ? tally.NotRun : tally.Unknown);
  ++Codes[std::string(code)];
  if (outcome == RequestOutcome::NotRun)
    RefusedMs.push_back(ms);
}

boost::json::object
LoadReport::describe(std::size_t sent,
                     std::chrono::duration<double> length) const {
  Tally total;
  std::vector<double> shares;
  boost::json::object accounts;
  // Only the client accounts with the lowest rate are compared for fairness;
  // the others overload the system on purpose.
  const double lowest =
      std::ranges::min_element(ClientAccounts, {}, &ClientAccountRate::Rate)
          ->Rate;
  for (std::size_t n = 0; n < ClientAccounts.size(); ++n) {
    const Tally &tally = Tallies[n];
    total.Answered += tally.Answered;
    total.NotRun += tally.NotRun;
    total.Unknown += tally.Unknown;
    if (ClientAccounts[n].Rate <= lowest)
      shares.push_back(static_cast<double>(tally.Answered));
    accounts[ClientAccounts[n].ClientAccount] =
        boost::json::object{{"rate", ClientAccounts[n].Rate},
                            {"answered", tally.Answered},
                            {"not_run", tally.NotRun}};
  }
  boost::json::object codes;
  for (const auto &[code, count] : Codes)
    codes[code] = count;
  boost::json::object document;
  document["sent"] = sent;
  document["answered"] = total.Answered;
  document["not_run"] = total.NotRun;
  document["unknown"] = total.Unknown;
  document["goodput"] = static_cast<double>(total.Answered) / length.count();
  document["answered_ms"] = describeLatency(AnsweredMs);
  document["refused_ms"] = describeLatency(RefusedMs);
  document["jain"] = jainIndex(shares);
  document["client_accounts"] = std::move(accounts);
  document["codes"] = std::move(codes);
  return document;
}

} // namespace magnoliamill::bench
