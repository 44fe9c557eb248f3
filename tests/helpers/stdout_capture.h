#pragma once

// Collects what a test writes to stdout, such as log lines.

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace firefly::testing {

// Redirects stdout to a temporary file during its lifetime.
class StdoutCapture
{
public:
  StdoutCapture()
  {
    std::fflush(stdout);
    mSaved = dup(STDOUT_FILENO);
    const int file = mkstemp(mName);
    dup2(file, STDOUT_FILENO);
    close(file);
  }

  ~StdoutCapture()
  {
    std::fflush(stdout);
    dup2(mSaved, STDOUT_FILENO);
    close(mSaved);
    unlink(mName);
  }

  StdoutCapture(const StdoutCapture&) = delete;
  StdoutCapture& operator=(const StdoutCapture&) = delete;

  [[nodiscard]] std::string Text() const
  {
    std::fflush(stdout);
    std::stringstream text;
    text << std::ifstream(mName).rdbuf();
    return text.str();
  }

private:
  int mSaved = -1;
  char mName[32] = "/tmp/firefly_log_XXXXXX";
};

} // namespace firefly::testing
