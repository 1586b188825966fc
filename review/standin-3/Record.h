// What was sent, answered and run, written to record.txt.
#pragma once

#include "Http.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record {
public:
  explicit Record(const std::string &path) : Out(path), Start(Clock::now()) {}

  /// Milliseconds since the start of the test.
  std::int64_t now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 Start)
        .count();
  }
  void add(const std::string &line) {
    const std::lock_guard lock(Mutex);
    Out << now() << " ms  " << line << "\n" << std::flush;
  }

private:
  std::ofstream Out;
  Clock::time_point Start;
  std::mutex Mutex;
};

} // namespace review
