/** The binary format of snapshots: encoding, validation and assembly of chunks. */
package vetchpost.state.codec;
