#pragma once

// The limits of the host and of the process, from which servers derive their
// own.

#include <cstddef>

namespace firefly {

// The smallest of the process's limits on address space and data and of the
// machine's memory, in bytes.
std::size_t
HostMemoryBytes();

// The number of descriptors that the process may open.
std::size_t
DescriptorLimit();

// Returns memory that large blocks occupy to the system as soon as they are
// freed. Otherwise the allocator raises its threshold for such blocks and keeps
// the memory, so that what the process occupies exceeds what it holds.
void
ReturnFreedBlocks();

} // namespace firefly
