// The record of a case: what was sent, answered and run, one line each.
#pragma once

#include "Http.h"

#include <fstream>
#include <mutex>
#include <string>

namespace standin {

class Record {
public:
  explicit Record(const std::string &path) : Out(path), Start(Clock::now()) {}

  /// Writes \p line behind the milliseconds since the start.
  void write(const std::string &line) {
    const std::lock_guard lock(Mutex);
    Out << std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 Start)
               .count()
        << " " << line << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
  Time Start;
};

} // namespace standin
