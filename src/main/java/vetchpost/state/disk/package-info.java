/** Files that survive crashes and power loss while they are written, for snapshots and other chunked data. */
package vetchpost.state.disk;
