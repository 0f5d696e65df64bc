#pragma once

namespace waxwing {

/// Opens /dev/null in place of a standard input, output or error that was closed when the process
/// started. Otherwise the system gives the number of the closed one to a socket, and what the
/// process logs is sent to a caller.
void openStandardDescriptors();

} // namespace waxwing
