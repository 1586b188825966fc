// Collects at a core under which requests targets have ended, and decides what
// the other cores and the entries are told. Performs no I/O.
#pragma once

#include "dispatch/CrashReport.h"

namespace magnoliamill::fleet {

/// Cores tell each other all crashes. Entries are told only of requests that
/// are to be refused: most crashes concern requests that never come again.
class CrashRelay {
public:
  struct News {
    dispatch::CrashReport ForCores;
    dispatch::CrashReport ForEntries;
  };
  enum class Source : std::uint8_t { Entry, Core };
  /// Returns what is passed on of what was not known. Other cores are told only
  /// what an entry reports, each of them once: a crash and its clearing that
  /// are passed on by all would overtake each other again and again.
  News merge(const dispatch::CrashReport &report, Source source,
             base::MonoTime now);

  /// Whether a target has ended under a request with \p content, and none has
  /// answered it since.
  bool isKnown(std::uint64_t content) const { return Known.isKnown(content); }

  /// For a core or an entry that has just connected.
  dispatch::CrashReport describeForCore(base::MonoTime now) const {
    return dispatch::makeReport(Known.list(now), now);
  }
  dispatch::CrashReport describeForEntry(base::MonoTime now) const {
    return dispatch::makeReport(Known.listRefused(now), now);
  }

private:
  dispatch::RequestQuarantine Known;
};

} // namespace magnoliamill::fleet
